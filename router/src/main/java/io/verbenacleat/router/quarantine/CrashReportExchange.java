package io.verbenacleat.router.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import com.google.common.collect.Lists;
import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.PlatformException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WriteOutcome;
import io.verbenacleat.router.budget.StoreClock;
import io.verbenacleat.router.log.DecisionLog;
import org.jspecify.annotations.Nullable;

/**
 * Shares crash reports with all routers: at once with some of them, who pass them on, and
 * in the store, where they outlive the routers. Confined to the control thread.
 * <p>
 * The store has one row for each part. A router adds to it what it knows and the row
 * lacks, so reports that came from another router while the store was away are written
 * when it is back.
 */
final class CrashReportExchange implements AutoCloseable {

	static final String PREFIX = "crashes/";

	/** Each poll is one call of the store, which usually returns no rows. */
	static final Duration POLL_INTERVAL = Duration.ofSeconds(1);

	/** Reports of connections that are closed together are sent together. */
	private static final Duration BATCH_DELAY = Duration.ofMillis(10);

	/** Other routers have usually written their own reports by then. */
	private static final Duration SECOND_WRITER_DELAY = POLL_INTERVAL.plusMillis(200);

	private static final Duration RETRY_DELAY = Duration.ofMillis(300);

	/** The store accepts at most 100 entries, and each row has a condition. */
	private static final int MAX_ROWS_PER_WRITE = 40;

	private static final int MAX_ROWS = 1_000;

	/** One of this many polls removes rows without uncleared reports. */
	private static final int REMOVAL_POLLS = 16;

	private final TableStore store;

	private final StoreClock storeClock;

	private final CrashReportPeers peers;

	private final ControlThread control;

	private final DecisionLog log;

	private final RandomGenerator random;

	private final CrashEvidence evidence;

	private final Consumer<List<CrashReport>> receiver;

	private final Cancellable pollTimer;

	/** The reports of each row and its version, as last read or written. */
	private final Map<String, StoredRow> stored = new HashMap<>();

	private final Map<String, CrashReport> outbox = new LinkedHashMap<>();

	private @Nullable Cancellable writeTimer;

	private long writeAtNanos;

	private boolean writing;

	private boolean storeUnreachable;

	/**
	 * Creates an exchange and starts to poll the store.
	 * @param store the table service
	 * @param storeClock the clock of the table service
	 * @param peers the other routers
	 * @param control the control thread
	 * @param log receives a line when the store cannot be read or written
	 * @param random spreads the writes of many routers
	 * @param evidence the reports of this router
	 * @param receiver receives the reports of other routers
	 */
	CrashReportExchange(TableStore store, StoreClock storeClock, CrashReportPeers peers, ControlThread control,
			DecisionLog log, RandomGenerator random, CrashEvidence evidence, Consumer<List<CrashReport>> receiver) {
		this.store = store;
		this.storeClock = storeClock;
		this.peers = peers;
		this.control = control;
		this.log = log;
		this.random = random;
		this.evidence = evidence;
		this.receiver = receiver;
		control.execute(this::poll);
		this.pollTimer = control.scheduleWithFixedDelay(POLL_INTERVAL, this::poll);
	}

	@Override
	public void close() {
		this.pollTimer.cancel();
		Cancellable scheduled = this.writeTimer;
		if (scheduled != null) {
			scheduled.cancel();
		}
	}

	/**
	 * Shares reports that are new to this router.
	 * @param reports the reports, which are part of the evidence
	 * @param own whether they are of this router, which then writes them to the store
	 */
	void share(List<CrashReport> reports, boolean own) {
		if (this.outbox.isEmpty()) {
			this.control.schedule(BATCH_DELAY, this::send);
		}
		reports.forEach((report) -> this.outbox.put(report.part() + " " + report.server(), report));
		long spreadMs = this.random.nextLong(POLL_INTERVAL.toMillis());
		scheduleWrite(own ? BATCH_DELAY : SECOND_WRITER_DELAY.plusMillis(spreadMs));
	}

	private void send() {
		List<CrashReport> reports = List.copyOf(this.outbox.values());
		this.outbox.clear();
		Lists.partition(reports, PartQuarantine.MAX_REPORTS_PER_MESSAGE).forEach(this.peers::sendReports);
	}

	private void poll() {
		this.store.scan(PREFIX, "", MAX_ROWS).whenCompleteAsync((rows, failure) -> {
			if (rows == null) {
				onUnreachable(failure);
				return;
			}
			if (this.storeUnreachable) {
				this.storeUnreachable = false;
				this.log.event("crash_reports.store_regained").emit();
			}
			this.stored.keySet().retainAll(rows.stream().map(Row::key).toList());
			onRows(rows);
			if (this.random.nextInt(REMOVAL_POLLS) == 0) {
				removeCleared();
			}
			if (!missingParts().isEmpty()) {
				long spreadMs = this.random.nextLong(POLL_INTERVAL.toMillis());
				scheduleWrite(Duration.ofMillis(spreadMs));
			}
		}, this.control);
	}

	private void onUnreachable(@Nullable Throwable failure) {
		if (!this.storeUnreachable) {
			this.storeUnreachable = true;
			this.log.event("crash_reports.store_lost").with("reason", PlatformException.reason(failure)).emit();
		}
	}

	private void onRows(List<Row> rows) {
		List<CrashReport> received = new ArrayList<>();
		for (Row row : rows) {
			StoredRow known = this.stored.get(row.key());
			if (!row.exists()) {
				this.stored.remove(row.key());
			}
			else if (known == null || known.version() != row.version()) {
				StoredRow read = new StoredRow(row.version(), parse(row));
				this.stored.put(row.key(), read);
				received.addAll(read.reports());
			}
		}
		this.receiver.accept(received);
	}

	private List<CrashReport> parse(Row row) {
		try {
			PartRow content = Json.read(row.json(), PartRow.class);
			List<@Nullable CrashReport> reports = content.reports();
			if (reports == null || reports.contains(null)) {
				throw new JsonFormatException("Row without reports", null);
			}
			long nowMs = this.storeClock.latestMs();
			boolean hasTime = content.atMs() >= 0 && nowMs >= 0;
			long sinceMs = hasTime ? Math.max(0, nowMs - content.atMs()) : 0;
			return reports.stream()
				.map((report) -> new CrashReport(report.part(), report.server(), report.ageMs() + sinceMs,
						report.answered(), report.cleared()))
				.filter((report) -> report.isValid() && row.key().equals(PREFIX + report.part()))
				.toList();
		}
		catch (JsonFormatException ex) {
			this.log.event("crash_reports.unreadable")
				.with("row", row.key())
				.with("reason", String.valueOf(ex.getMessage()))
				.emit();
			return List.of();
		}
	}

	private void scheduleWrite(Duration delay) {
		long atNanos = this.control.nanoTime() + delay.toNanos();
		Cancellable scheduled = this.writeTimer;
		if (scheduled != null) {
			if (this.writeAtNanos <= atNanos) {
				return;
			}
			scheduled.cancel();
		}
		this.writeAtNanos = atNanos;
		this.writeTimer = this.control.schedule(delay, () -> {
			this.writeTimer = null;
			write();
		});
	}

	private void write() {
		Set<String> missing = missingParts();
		if (this.writing) {
			scheduleWrite(RETRY_DELAY);
			return;
		}
		if (missing.isEmpty()) {
			return;
		}
		Transaction.Builder transaction = Transaction.builder();
		long nowNanos = this.control.nanoTime();
		Map<String, List<CrashReport>> written = new HashMap<>();
		missing.stream().limit(MAX_ROWS_PER_WRITE).forEach((part) -> {
			String key = PREFIX + part;
			StoredRow row = this.stored.get(key);
			List<CrashReport> reports = this.evidence.reports(part, nowNanos);
			transaction.putIf(key, (row != null) ? row.version() : 0,
					Json.write(new PartRow(this.storeClock.earliestMs(), reports)));
			written.put(key, reports);
		});
		this.writing = true;
		this.store.transact(transaction.build()).whenCompleteAsync((outcome, failure) -> {
			this.writing = false;
			if (outcome instanceof WriteOutcome.Applied applied) {
				written.forEach((key, reports) -> this.stored.put(key,
						new StoredRow(applied.versions().getOrDefault(key, 0L), reports)));
			}
			else if (outcome instanceof WriteOutcome.Conflict conflict) {
				onRows(conflict.rows());
			}
			if (!missingParts().isEmpty()) {
				long spreadMs = this.random.nextLong(RETRY_DELAY.toMillis());
				scheduleWrite((outcome instanceof WriteOutcome.Conflict) ? Duration.ofMillis(spreadMs)
						: RETRY_DELAY.plusMillis(spreadMs));
			}
		}, this.control);
	}

	// A part whose reports were all cleared before they were written needs no row.
	private Set<String> missingParts() {
		Set<String> missing = new LinkedHashSet<>();
		long nowNanos = this.control.nanoTime();
		for (String part : this.evidence.parts()) {
			StoredRow row = this.stored.get(PREFIX + part);
			for (CrashReport report : this.evidence.reports(part, nowNanos)) {
				if ((row != null) ? !row.includes(report) : !report.cleared()) {
					missing.add(part);
				}
			}
		}
		return missing;
	}

	private void removeCleared() {
		Transaction.Builder transaction = Transaction.builder();
		Set<String> parts = this.evidence.parts();
		List<String> removed = this.stored.keySet()
			.stream()
			.filter((key) -> !parts.contains(key.substring(PREFIX.length())))
			.limit(MAX_ROWS_PER_WRITE)
			.toList();
		if (removed.isEmpty()) {
			return;
		}
		removed.forEach((key) -> {
			StoredRow row = this.stored.get(key);
			transaction.deleteIf(key, (row != null) ? row.version() : 0);
		});
		this.store.transact(transaction.build()).whenCompleteAsync((outcome, failure) -> {
			if (outcome instanceof WriteOutcome.Applied) {
				removed.forEach(this.stored::remove);
			}
		}, this.control);
	}

	/**
	 * The reports of one row.
	 *
	 * @param version the version of the row
	 * @param reports the reports
	 */
	private record StoredRow(long version, List<CrashReport> reports) {

		private boolean includes(CrashReport report) {
			return this.reports.stream()
				.anyMatch((other) -> other.server().equals(report.server()) && (other.cleared() || !report.cleared())
						&& (other.answered() || !report.answered()));
		}

	}

	/**
	 * The content of a row.
	 *
	 * @param atMs the earliest time at which the row was written, by the clock of the
	 * store in milliseconds, -1 if unknown
	 * @param reports the reports, with their age at that time
	 */
	record PartRow(long atMs, @Nullable List<@Nullable CrashReport> reports) {
	}

}
