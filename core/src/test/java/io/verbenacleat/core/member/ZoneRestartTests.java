package io.verbenacleat.core.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WriteOutcome;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a load of the table store that grows with the square of the number of
 * processes that register at once, because each failed attempt is retried in contention
 * with all others.
 */
public class ZoneRestartTests {

	/** The processes of one zone at the target size: 62 entries and 100 agents. */
	private static final int PROCESSES = 162;

	private VirtualTime time = new VirtualTime();

	private CountingStore store = new CountingStore(1);

	private final List<String> failures = new ArrayList<>();

	@DataProvider
	public Object[][] latencies() {
		return new Object[][] { { 5 }, { 25 } };
	}

	@Test(dataProvider = "latencies")
	public void restartingZoneStaysWithinWriteLimit(int latencyMs) {
		this.time = new VirtualTime();
		this.store = new CountingStore(latencyMs);
		for (int i = 0; i < PROCESSES; i++) {
			int number = i;
			this.time.start(() -> register(number));
		}
		this.time.run();
		int peak = Collections.max(this.store.triesBySecond.values());
		String figures = this.store.tries + " tries, " + peak + " in one second, " + this.time.nowMs() + " ms, "
				+ this.failures.size() + " failed";
		assertEquals(this.failures, List.of());
		assertTrue(peak <= 400, figures);
		assertTrue(this.time.nowMs() <= 30_000, figures);
	}

	private void register(int number) {
		FleetRegistrar registrar = new FleetRegistrar(this.store, Duration.ofSeconds(2), new SplittableRandom(number),
				100, this.time::pause);
		try {
			registrar.register(new Member("process-" + number, Member.Role.ENTRY, "127.0.0.1:1", "127.0.0.1", "r1",
					"z1", "s1", null, 0, 0));
		}
		catch (RegistrationException ex) {
			this.failures.add(ex.getMessage());
		}
	}

	/**
	 * A table store with latency in virtual time that counts write attempts per second.
	 */
	private final class CountingStore implements TableStore {

		private final InMemoryTableStore rows = new InMemoryTableStore();

		private final Map<Long, Integer> triesBySecond = new TreeMap<>();

		private final long latencyMs;

		private int tries;

		private CountingStore(long latencyMs) {
			this.latencyMs = latencyMs;
		}

		@Override
		public CompletableFuture<List<Row>> read(List<String> keys) {
			return call(() -> this.rows.read(keys));
		}

		@Override
		public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
			return call(() -> this.rows.scan(prefix, after, limit));
		}

		@Override
		public CompletableFuture<WriteOutcome> transact(Transaction transaction) {
			this.tries++;
			this.triesBySecond.merge(ZoneRestartTests.this.time.nowMs() / 1_000, 1, Integer::sum);
			return call(() -> this.rows.transact(transaction));
		}

		private <T> T call(Supplier<T> call) {
			ZoneRestartTests.this.time.pause(this.latencyMs);
			T answer = call.get();
			ZoneRestartTests.this.time.pause(this.latencyMs);
			return answer;
		}

	}

}
