package io.verbenacleat.core.platform;

import java.util.List;
import java.util.Map;

/**
 * The outcome of a transaction as known to the client. Immutable.
 */
public sealed interface WriteOutcome {

	/**
	 * The transaction took effect.
	 *
	 * @param versions the new version of each row that was put
	 */
	record Applied(Map<String, Long> versions) implements WriteOutcome {

		/**
		 * Creates an outcome with a copy of the map.
		 */
		public Applied {
			versions = Map.copyOf(versions);
		}

	}

	/**
	 * A condition did not hold; nothing was changed.
	 *
	 * @param versions the current version of each row whose condition did not hold
	 * @param rows the current rows of all conditions, in one consistent snapshot; empty
	 * if the service does not return them
	 */
	record Conflict(Map<String, Long> versions, List<Row> rows) implements WriteOutcome {

		/**
		 * Creates an outcome with copies of the collections.
		 */
		public Conflict {
			versions = Map.copyOf(versions);
			rows = List.copyOf(rows);
		}

		/**
		 * Creates an outcome of a service that does not return the rows.
		 * @param versions the current version of each row whose condition did not hold
		 */
		public Conflict(Map<String, Long> versions) {
			this(versions, List.of());
		}

	}

	/**
	 * The service rejected the transaction or was not reached; the call changed nothing.
	 *
	 * @param cause the failure
	 */
	record NotApplied(PlatformException cause) implements WriteOutcome {

		/**
		 * Returns whether the service would reject the same transaction again.
		 * @return {@code false} if a retry may succeed
		 */
		public boolean isPermanent() {
			return this.cause instanceof PlatformProtocolException;
		}

	}

	/**
	 * The transaction may have taken effect, or may still do so later. Before a retry,
	 * the writer reads the rows to find out, and retries with the same conditions.
	 *
	 * @param cause the failure
	 */
	record Unknown(PlatformException cause) implements WriteOutcome {
	}

}
