package io.verbenacleat.router;

import java.time.Instant;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.router.log.DecisionLog;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class ObservedTableStoreTests {

	// Guards against a call that is rejected for ever and that no operator sees.
	@Test
	public void rejectedWritesAreCountedByTable() {
		PrometheusRegistry registry = new PrometheusRegistry();
		InMemoryTableStore tables = new InMemoryTableStore();
		ObservedTableStore store = new ObservedTableStore(tables, new ManualControlThread(Instant.ofEpochSecond(1)),
				new DecisionLog(() -> 0), registry);
		Transaction.Builder large = Transaction.builder();
		for (int i = 0; i < 60; i++) {
			large.insert("ledger/" + i, "{}");
		}
		for (int i = 0; i < 3; i++) {
			store.transact(large.build()).join();
		}
		store.transact(Transaction.builder().insert("streams/1", "{}").build()).join();
		store.transact(Transaction.builder().insert("streams/1", "{}").build()).join();
		tables.setAvailable(false);
		store.transact(Transaction.builder().insert("streams/2", "{}").build()).join();
		assertEquals(count(registry, "ledger", "rejected"), 3.0);
		assertEquals(count(registry, "streams", "applied"), 1.0);
		assertEquals(count(registry, "streams", "conflict"), 1.0);
		assertEquals(count(registry, "streams", "not_applied"), 1.0);
	}

	private static double count(PrometheusRegistry registry, String table, String outcome) {
		return registry.scrape()
			.stream()
			.filter(CounterSnapshot.class::isInstance)
			.flatMap((snapshot) -> ((CounterSnapshot) snapshot).getDataPoints().stream())
			.filter((point) -> table.equals(point.getLabels().get("table"))
					&& outcome.equals(point.getLabels().get("outcome")))
			.mapToDouble(CounterSnapshot.CounterDataPointSnapshot::getValue)
			.sum();
	}

}
