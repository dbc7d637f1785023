package io.verbenacleat.router.stream;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WriteOutcome;
import io.verbenacleat.router.budget.StoreClock;
import io.verbenacleat.router.budget.StoreEra;
import io.verbenacleat.router.log.DecisionLog;
import org.jspecify.annotations.Nullable;

/**
 * The records of the streams that were begun while several versions served, one row for
 * each, in the store. Confined to the control thread.
 * <p>
 * Rows are only added: when a request is sent to a server of another version, before its
 * first event, it gets one more row with a higher number. So a delayed write of an
 * earlier row is harmless.
 */
final class OriginRecords implements AutoCloseable {

	static final String PREFIX = "streams/";

	/** Rows for one stream. */
	static final int MAX_NUMBERS = 8;

	/** The first event takes longer, so that it finds the row written. */
	private static final Duration BATCH_DELAY = Duration.ofMillis(10);

	/** Bounds the writes of a large fleet to about 250 a second. */
	private static final long INTERVAL_MS_PER_ROUTER = 4;

	/** Writes of a router that has written little need not wait. */
	private static final int WRITES_PER_BURST = 4;

	private static final Duration RETRY_DELAY = Duration.ofMillis(300);

	private static final Duration MAINTENANCE_INTERVAL = Duration.ofSeconds(2);

	/** Rows of routers that have ended are removed by one router about so often. */
	private static final Duration CLEANUP_INTERVAL = Duration.ofSeconds(60);

	/** The store accepts at most 100 entries, and each row has a condition. */
	private static final int MAX_ROWS_PER_WRITE = 45;

	/** Bounds the memory; a row takes about 300 bytes. */
	private static final int MAX_PENDING = 8_192;

	private static final int MAX_SCANNED = 1_000;

	/** No service has this name. */
	private static final StreamOrigin AMBIGUOUS = new StreamOrigin("", "", "");

	private final TableStore store;

	private final StoreClock clock;

	private final StoreEra era;

	private final ControlThread control;

	private final DecisionLog log;

	private final RandomGenerator random;

	private final Map<String, Pending> pending = new LinkedHashMap<>();

	private final Deque<Written> written = new ArrayDeque<>();

	private final Cancellable maintenanceTimer;

	private Duration retention = Duration.ofMinutes(2);

	private int routerCount = 1;

	private boolean writing;

	private boolean scheduled;

	private boolean used;

	/** When the next write is due at the bounded rate, by the steady clock. */
	private long nextWriteNanos;

	OriginRecords(TableStore store, StoreClock clock, StoreEra era, ControlThread control, DecisionLog log,
			RandomGenerator random) {
		this.store = store;
		this.clock = clock;
		this.era = era;
		this.control = control;
		this.log = log;
		this.random = random;
		this.nextWriteNanos = control.nanoTime();
		this.maintenanceTimer = control.scheduleWithFixedDelay(MAINTENANCE_INTERVAL, this::maintain);
	}

	@Override
	public void close() {
		this.maintenanceTimer.cancel();
	}

	void setRetention(Duration newRetention) {
		this.retention = newRetention;
	}

	void setRouterCount(int count) {
		this.routerCount = Math.max(1, count);
	}

	/**
	 * Adds a row soon, together with others.
	 * @param id the id of the stream
	 * @param number the number of the row, 0 for the first one
	 * @param origin the origin
	 */
	void add(String id, int number, StreamOrigin origin) {
		this.used = true;
		if (this.pending.size() < MAX_PENDING) {
			this.pending.put(key(id, number), new Pending(origin, this.era.current(), this.control.nanoTime()));
			scheduleWrite(BATCH_DELAY);
		}
	}

	/**
	 * Adds a row at once.
	 * @param id the id of the stream
	 * @param number the number of the row
	 * @param origin the origin
	 * @return {@code true} when the row is written
	 */
	CompletableFuture<Boolean> addNow(String id, int number, StreamOrigin origin) {
		String key = key(id, number);
		return this.store.transact(Transaction.builder().insert(key, json(origin, this.era.current())).build())
			.thenApplyAsync((outcome) -> {
				if (outcome instanceof WriteOutcome.Applied applied) {
					onWritten(List.of(key), applied);
				}
				return outcome instanceof WriteOutcome.Applied;
			}, this.control);
	}

	/**
	 * Reads the newest record of a stream.
	 * @param id the id of the stream
	 * @return the origin, empty without a record; fails if the store does not respond
	 */
	CompletableFuture<Optional<StreamOrigin>> read(String id) {
		List<String> keys = IntStream.range(0, MAX_NUMBERS).mapToObj((number) -> key(id, number)).toList();
		return this.store.read(keys).thenApplyAsync((rows) -> {
			Optional<StreamOrigin> found = Optional.empty();
			for (Row row : rows) {
				if (row.exists()) {
					found = parse(row).filter((record) -> record.era() == this.era.current()).map(OriginRow::origin);
				}
			}
			return found;
		}, this.control);
	}

	private Optional<OriginRow> parse(Row row) {
		try {
			OriginRow record = Json.read(row.json(), OriginRow.class);
			if (record.service() != null && record.version() != null && record.workspace() != null) {
				return Optional.of(record);
			}
		}
		catch (JsonFormatException ex) {
			this.log.event("streams.unreadable")
				.with("row", row.key())
				.with("reason", String.valueOf(ex.getMessage()))
				.emit();
		}
		return Optional.empty();
	}

	private void scheduleWrite(Duration delay) {
		if (this.scheduled || this.writing || this.pending.isEmpty()) {
			return;
		}
		this.scheduled = true;
		long aheadNanos = this.nextWriteNanos - this.control.nanoTime() - WRITES_PER_BURST * intervalNanos();
		this.control.schedule(Duration.ofNanos(Math.max(delay.toNanos(), aheadNanos)), this::write);
	}

	private long intervalNanos() {
		return Duration.ofMillis(this.routerCount * INTERVAL_MS_PER_ROUTER).toNanos();
	}

	private void write() {
		this.scheduled = false;
		long nowNanos = this.control.nanoTime();
		this.pending.values().removeIf((row) -> nowNanos - row.addedNanos() >= this.retention.toNanos());
		if (this.pending.isEmpty()) {
			return;
		}
		Transaction.Builder transaction = Transaction.builder();
		List<String> keys = this.pending.keySet().stream().limit(MAX_ROWS_PER_WRITE).toList();
		for (String key : keys) {
			Pending row = this.pending.get(key);
			if (row != null) {
				transaction.insert(key, json(row.origin(), row.era()));
			}
		}
		this.writing = true;
		this.nextWriteNanos = Math.max(nowNanos, this.nextWriteNanos) + intervalNanos();
		this.store.transact(transaction.build()).whenCompleteAsync((outcome, failure) -> {
			this.writing = false;
			if (outcome instanceof WriteOutcome.Applied applied) {
				keys.forEach(this.pending::remove);
				onWritten(keys, applied);
				scheduleWrite(BATCH_DELAY);
			}
			else if (outcome instanceof WriteOutcome.Conflict conflict) {
				conflict.rows().stream().filter(Row::exists).forEach(this::onPresent);
				scheduleWrite(BATCH_DELAY);
			}
			else {
				scheduleWrite(RETRY_DELAY);
			}
		}, this.control);
	}

	// Either a write without a response was applied, or two requests have the same id, so
	// that nobody can tell which of them is resumed.
	private void onPresent(Row row) {
		Pending own = this.pending.remove(row.key());
		int slash = row.key().lastIndexOf('/');
		int number = Integer.parseInt(row.key().substring(slash + 1));
		boolean same = own != null
				&& parse(row).map((record) -> record.origin().equals(own.origin()) && record.era() == own.era())
					.orElse(false);
		if (own != null && !same && number + 1 < MAX_NUMBERS) {
			add(row.key().substring(PREFIX.length(), slash), number + 1, AMBIGUOUS);
		}
		this.written.add(new Written(row.key(), row.version(), this.control.nanoTime()));
	}

	private void onWritten(List<String> keys, WriteOutcome.Applied applied) {
		long nowNanos = this.control.nanoTime();
		keys.forEach((key) -> this.written.add(new Written(key, applied.versions().getOrDefault(key, 0L), nowNanos)));
	}

	private void maintain() {
		long nowNanos = this.control.nanoTime();
		List<Written> expired = new ArrayList<>();
		Written first = this.written.peek();
		while (first != null && nowNanos - first.writtenNanos() >= this.retention.toNanos()
				&& expired.size() < MAX_ROWS_PER_WRITE) {
			expired.add(first);
			this.written.remove();
			first = this.written.peek();
		}
		if (!expired.isEmpty()) {
			remove(expired);
		}
		double roundsOfFleet = (double) CLEANUP_INTERVAL.toMillis() / MAINTENANCE_INTERVAL.toMillis()
				* this.routerCount;
		if (this.used && this.random.nextDouble() * roundsOfFleet < 1) {
			cleanUp();
		}
	}

	// Rows that another router has removed make the transaction fail; the next clean-up
	// finds the others.
	private void remove(List<Written> rows) {
		Transaction.Builder transaction = Transaction.builder();
		rows.forEach((row) -> transaction.deleteIf(row.key(), row.version()));
		this.store.transact(transaction.build()).whenCompleteAsync((outcome, failure) -> {
			if (!(outcome instanceof WriteOutcome.Applied)) {
				this.log.event("streams.not_removed").with("rows", rows.size()).emit();
			}
		}, this.control);
	}

	// Also removes the rows of routers that have ended.
	private void cleanUp() {
		this.store.scan(PREFIX, "", MAX_SCANNED).whenCompleteAsync((rows, failure) -> {
			long nowMs = this.clock.earliestMs();
			if (rows == null || nowMs < 0) {
				return;
			}
			long maxAgeMs = this.retention.plus(CLEANUP_INTERVAL).toMillis();
			List<Written> orphans = rows.stream()
				.filter((row) -> parse(row).map((record) -> Math.abs(nowMs - record.atMs()) > maxAgeMs).orElse(true))
				.limit(MAX_ROWS_PER_WRITE)
				.map((row) -> new Written(row.key(), row.version(), 0))
				.toList();
			if (!orphans.isEmpty()) {
				remove(orphans);
			}
		}, this.control);
	}

	private String json(StreamOrigin origin, long rowEra) {
		return Json.write(
				new OriginRow(origin.service(), origin.version(), origin.workspace(), rowEra, this.clock.earliestMs()));
	}

	private static String key(String id, int number) {
		return PREFIX + id + "/" + number;
	}

	private record Pending(StreamOrigin origin, long era, long addedNanos) {
	}

	private record Written(String key, long version, long writtenNanos) {
	}

	/**
	 * The content of a row.
	 *
	 * @param service the name of the service
	 * @param version the version
	 * @param workspace the name of the workspace
	 * @param era the era in which the row was added
	 * @param atMs the earliest time at which the row was written, by the clock of the
	 * store in milliseconds, -1 if unknown
	 */
	record OriginRow(@Nullable String service, @Nullable String version, @Nullable String workspace, long era,
			long atMs) {

		private StreamOrigin origin() {
			return new StreamOrigin(String.valueOf(this.service), String.valueOf(this.version),
					String.valueOf(this.workspace));
		}

	}

}
