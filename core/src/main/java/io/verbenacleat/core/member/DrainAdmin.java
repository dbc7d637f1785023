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
 * Starts and ends the drain of backend servers for operators. A draining backend server
 * gets no new work. Each change writes the drain row and the topic version in the row
 * {@code head} in one transaction, so that no change goes unnoticed. Safe for use by
 * several threads; every method blocks until the table store answers.
 */
public final class DrainAdmin {

	private static final int PAGE_ROWS = 1000;

	private final BlockingTableStore store;

	private final Clock clock;

	/**
	 * Creates an administrator of drains.
	 * @param store the table store
	 * @param clock the clock for the times in rows
	 */
	public DrainAdmin(BlockingTableStore store, Clock clock) {
		this.store = store;
		this.clock = clock;
	}

	/**
	 * Reads whether a backend server is draining.
	 * @param server the name of the backend server
	 * @return the row, or empty if the server was never drained
	 * @throws PlatformException if the row cannot be read
	 */
	public Optional<DrainRow> read(String server) throws PlatformException {
		Row row = this.store.read(DrainRow.key(server));
		return (row.exists()) ? Optional.of(parse(row, DrainRow.class)) : Optional.empty();
	}

	/**
	 * Reads the rows of all backend servers that were ever drained.
	 * @return the rows by name of the backend server
	 * @throws PlatformException if the rows cannot be read
	 */
	public Map<String, DrainRow> list() throws PlatformException {
		Map<String, DrainRow> rowsByServer = new TreeMap<>();
		String after = "";
		List<Row> rows;
		do {
			rows = this.store.scan(DrainRow.KEY_PREFIX, after, PAGE_ROWS);
			for (Row row : rows) {
				after = row.key();
				rowsByServer.put(after.substring(DrainRow.KEY_PREFIX.length()), parse(row, DrainRow.class));
			}
		}
		while (rows.size() == PAGE_ROWS);
		return rowsByServer;
	}

	/**
	 * Starts or ends the drain of a backend server; has no effect if the server is
	 * already in the requested state.
	 * @param server the name of the backend server
	 * @param draining {@code true} to start the drain, {@code false} to end it
	 * @param operator who requests the change
	 * @return the row after the call
	 * @throws PlatformException if the platform fails or the outcome remains unknown
	 */
	public DrainRow setDraining(String server, boolean draining, String operator) throws PlatformException {
		DrainRow requested = new DrainRow(draining, operator, this.clock.millis());
		return new ConditionalWriter(this.store).<DrainRow, PlatformException>write((answerLost) -> {
			List<Row> rows = this.store.read(List.of(DrainRow.key(server), Head.KEY));
			DrainRow current = (rows.get(0).exists()) ? parse(rows.get(0), DrainRow.class)
					: new DrainRow(false, operator, 0);
			if (current.draining() == draining) {
				return new ConditionalWriter.Plan<>(null, current);
			}
			Head head = (rows.get(1).exists()) ? parse(rows.get(1), Head.class) : new Head(Map.of());
			return new ConditionalWriter.Plan<>(Transaction.builder()
				.putIf(rows.get(0).key(), rows.get(0).version(), Json.write(requested))
				.putIf(Head.KEY, rows.get(1).version(), Json.write(head.withNextVersion(Head.DRAIN)))
				.build(), requested);
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
