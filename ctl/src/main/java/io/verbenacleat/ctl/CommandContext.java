package io.verbenacleat.ctl;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;

import io.verbenacleat.core.daemon.UsageException;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.BlockingTableStore;
import io.verbenacleat.core.platform.PlatformException;
import io.verbenacleat.core.platform.PlatformProtocolException;
import io.verbenacleat.core.platform.Row;
import org.jspecify.annotations.Nullable;

/**
 * The output, the clock and the platform connection of a running command. The platform is
 * connected at the first use. Not safe for use by several threads.
 */
final class CommandContext implements AutoCloseable {

	// Longer than the timeout of the HTTP client, whose messages are more specific.
	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(15);

	private static final int SCAN_PAGE_ROWS = 1000;

	private final Command command;

	private final PlatformConnector connector;

	private final Output output;

	private final Clock clock = Clock.systemUTC();

	private @Nullable PlatformConnection connection;

	CommandContext(Command command, PlatformConnector connector, Output output) {
		this.command = command;
		this.connector = connector;
		this.output = output;
	}

	Output output() {
		return this.output;
	}

	Clock clock() {
		return this.clock;
	}

	BlockingTableStore store() throws UsageException {
		if (this.connection == null) {
			String url = this.command.platformUrl;
			if (url.isBlank()) {
				throw new UsageException("--platform-url is missing");
			}
			if (!url.matches("https?://[^/ ]+/?")) {
				throw new UsageException("--platform-url: found '" + url + "', allowed is http(s)://host:port");
			}
			try {
				this.connection = this.connector.connect(url, this.command.platformToken);
			}
			catch (IllegalArgumentException ex) {
				throw new UsageException("--platform-url: found '" + url + "', allowed is http(s)://host:port");
			}
		}
		return new BlockingTableStore(this.connection.tables(), CALL_TIMEOUT);
	}

	// Processes one page at a time, because the journals may not fit in memory.
	<T> void scan(String prefix, Class<T> type, Consumer<T> consumer) throws PlatformException, UsageException {
		String after = "";
		List<Row> rows;
		do {
			rows = store().scan(prefix, after, SCAN_PAGE_ROWS);
			for (Row row : rows) {
				after = row.key();
				consumer.accept(parse(row, type));
			}
		}
		while (rows.size() == SCAN_PAGE_ROWS);
	}

	static <T> T parse(Row row, Class<T> type) throws PlatformProtocolException {
		try {
			return Json.read(row.json(), type);
		}
		catch (JsonFormatException ex) {
			throw new PlatformProtocolException("Row " + row.key() + ": " + ex.getMessage(), ex);
		}
	}

	static String formatTime(long epochMs) {
		return Instant.ofEpochMilli(epochMs).toString();
	}

	@Override
	public void close() {
		if (this.connection != null) {
			this.connection.close();
		}
	}

}
