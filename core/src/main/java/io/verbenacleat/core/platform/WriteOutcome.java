package io.verbenacleat.core.platform;

import java.util.List;
import java.util.Map;

/**
 * What is known about a transaction after its call. Immutable.
 */
public sealed interface WriteOutcome {

	/**
	 * The transaction took effect.
	 *
	 * @param versions the new version of each row that was put
	 */
	record Applied(Map<String, Long> versions) implements WriteOutcome {

		/**
		 * Creates an outcome from a copy of the map.
		 */
		public Applied {
			versions = Map.copyOf(versions);
		}

	}

	/**
	 * A condition did not hold; nothing was changed.
	 *
	 * @param versions the present version of each row whose condition did not hold
	 * @param rows the present rows of all conditions, in one consistent view; empty when
	 * the service does not tell
	 */
	record Conflict(Map<String, Long> versions, List<Row> rows) implements WriteOutcome {

		/**
		 * Creates an outcome from copies.
		 */
		public Conflict {
			versions = Map.copyOf(versions);
			rows = List.copyOf(rows);
		}

		/**
		 * Creates an outcome of a service that does not tell the rows.
		 * @param versions the present version of each row whose condition did not hold
		 */
		public Conflict(Map<String, Long> versions) {
			this(versions, List.of());
		}

	}

	/**
	 * The service refused or was not reached; nothing was changed by this call.
	 *
	 * @param cause the failure
	 */
	record NotApplied(PlatformException cause) implements WriteOutcome {
	}

	/**
	 * The call may or may not have taken effect, and may still do so later. The writer
	 * reads back before it repeats, with the same conditions.
	 *
	 * @param cause the failure
	 */
	record Unknown(PlatformException cause) implements WriteOutcome {
	}

}
