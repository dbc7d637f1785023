package io.verbenacleat.core.member;

import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.verbenacleat.core.head.Head;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.BlockingTableStore;
import io.verbenacleat.core.platform.ConditionalWriter;
import io.verbenacleat.core.platform.PlatformException;
import io.verbenacleat.core.platform.PlatformProtocolException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.Transaction;

/**
 * Drains backend servers. A change writes the row and the topic in the row {@code head}
 * in one transaction. Safe for use by several threads; blocks.
 */
public final class DrainAdmin {

	private static final int SCAN_ROWS = 1000;

	private final BlockingTableStore store;

	private final Clock clock;

	/**
	 * Creates an administration.
	 * @param store the table service
	 * @param clock the clock for the times in rows
	 */
	public DrainAdmin(BlockingTableStore store, Clock clock) {
		this.store = store;
		this.clock = clock;
	}

	/**
	 * Reads whether a backend server drains.
	 * @param server the name of the backend server
	 * @return the row, or empty when it never drained
	 * @throws PlatformException when the row cannot be read
	 */
	public Optional<DrainRow> read(String server) throws PlatformException {
		Row row = this.store.read(DrainRow.key(server));
		return (row.exists()) ? Optional.of(parse(row, DrainRow.class)) : Optional.empty();
	}

	/**
	 * Reads the rows of all backend servers that ever drained.
	 * @return the rows by name of the backend server
	 * @throws PlatformException when the rows cannot be read
	 */
	public Map<String, DrainRow> list() throws PlatformException {
		Map<String, DrainRow> found = new TreeMap<>();
		String after = "";
		List<Row> rows;
		do {
			rows = this.store.scan(DrainRow.KEY_PREFIX, after, SCAN_ROWS);
			for (Row row : rows) {
				after = row.key();
				found.put(after.substring(DrainRow.KEY_PREFIX.length()), parse(row, DrainRow.class));
			}
		}
		while (rows.size() == SCAN_ROWS);
		return found;
	}

	/**
	 * Drains a backend server or ends its drain; does nothing when it is so already.
	 * @param server the name of the backend server
	 * @param draining whether it is to drain
	 * @param by who says so
	 * @return the row in force
	 * @throws PlatformException when the platform fails or the outcome stays unknown
	 */
	public DrainRow setDraining(String server, boolean draining, String by) throws PlatformException {
		DrainRow wanted = new DrainRow(draining, by, this.clock.millis());
		return new ConditionalWriter(this.store).<DrainRow, PlatformException>write((answerLost) -> {
			List<Row> rows = this.store.read(List.of(DrainRow.key(server), Head.KEY));
			DrainRow known = (rows.get(0).exists()) ? parse(rows.get(0), DrainRow.class) : new DrainRow(false, by, 0);
			if (known.draining() == draining) {
				return new ConditionalWriter.Plan<>(null, known);
			}
			Head head = (rows.get(1).exists()) ? parse(rows.get(1), Head.class) : new Head(Map.of());
			return new ConditionalWriter.Plan<>(Transaction.builder()
				.putIf(rows.get(0).key(), rows.get(0).version(), Json.write(wanted))
				.putIf(Head.KEY, rows.get(1).version(), Json.write(head.withNextVersion(Head.DRAIN)))
				.build(), wanted);
		});
	}

	private static <T> T parse(Row row, Class<T> type) throws PlatformProtocolException {
		try {
			return Json.read(row.json(), type);
		}
		catch (JsonFormatException ex) {
			throw new PlatformProtocolException("Row " + row.key() + ": " + ex.getMessage(), ex);
		}
	}

}
