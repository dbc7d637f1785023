package io.verbenacleat.router;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.TransactionLimits;
import io.verbenacleat.core.platform.WriteOutcome;
import io.verbenacleat.router.log.DecisionLog;

/**
 * Counts the writes of a table store by table and outcome, and logs those that the
 * service would reject again, which no retry of a writer resolves. Safe for use by
 * several threads.
 */
final class ObservedTableStore implements TableStore {

	/** Bounds the log while a writer is rejected again and again. */
	private static final Duration LOG_INTERVAL = Duration.ofSeconds(5);

	private final TableStore store;

	private final ControlThread control;

	private final DecisionLog log;

	private final Counter writes;

	private final Map<String, Rejections> rejections = new HashMap<>();

	ObservedTableStore(TableStore store, ControlThread control, DecisionLog log, PrometheusRegistry registry) {
		this.store = store;
		this.control = control;
		this.log = log;
		this.writes = Counter.builder()
			.name("verbena_router_store_writes_total")
			.help("Transactions by table and outcome; rejected ones would be rejected again")
			.labelNames("table", "outcome")
			.register(registry);
	}

	@Override
	public CompletableFuture<List<Row>> read(List<String> keys) {
		return this.store.read(keys);
	}

	@Override
	public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
		return this.store.scan(prefix, after, limit);
	}

	@Override
	public TransactionLimits limits() {
		return this.store.limits();
	}

	@Override
	public CompletableFuture<WriteOutcome> transact(Transaction transaction) {
		return this.store.transact(transaction).thenApply((outcome) -> {
			String table = table(transaction);
			this.writes.labelValues(table, label(outcome)).inc();
			if (outcome instanceof WriteOutcome.NotApplied notApplied && notApplied.isPermanent()) {
				onRejected(table, transaction, String.valueOf(notApplied.cause().getMessage()));
			}
			return outcome;
		});
	}

	private synchronized void onRejected(String table, Transaction transaction, String reason) {
		Rejections before = this.rejections.getOrDefault(table, Rejections.NONE);
		long nowNanos = this.control.nanoTime();
		long count = before.count() + 1;
		if (before.count() > 0 && nowNanos - before.loggedAtNanos() < LOG_INTERVAL.toNanos()) {
			this.rejections.put(table, new Rejections(count, before.loggedAtNanos()));
			return;
		}
		this.rejections.put(table, new Rejections(count, nowNanos));
		this.log.event("store.rejected")
			.with("table", table)
			.with("entries", transaction.entries())
			.with("bytes", TransactionLimits.bytes(transaction))
			.with("count", count)
			.with("reason", reason)
			.emit();
	}

	private static String table(Transaction transaction) {
		if (transaction.conditions().isEmpty()) {
			return "none";
		}
		String key = transaction.conditions().get(0).key();
		int slash = key.indexOf('/');
		return (slash >= 0) ? key.substring(0, slash) : key;
	}

	private static String label(WriteOutcome outcome) {
		if (outcome instanceof WriteOutcome.NotApplied notApplied) {
			return notApplied.isPermanent() ? "rejected" : "not_applied";
		}
		if (outcome instanceof WriteOutcome.Applied) {
			return "applied";
		}
		return (outcome instanceof WriteOutcome.Conflict) ? "conflict" : "unknown";
	}

	/**
	 * The rejections of one table.
	 *
	 * @param count their number since the start
	 * @param loggedAtNanos when one was last logged, by the steady clock
	 */
	private record Rejections(long count, long loggedAtNanos) {

		private static final Rejections NONE = new Rejections(0, 0);

	}

}
