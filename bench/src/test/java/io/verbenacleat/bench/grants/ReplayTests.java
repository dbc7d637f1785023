package io.verbenacleat.bench.grants;

import java.time.Duration;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Consumer;

import io.verbenacleat.core.config.BudgetConfig;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.entry.budget.AdaptiveGrantPolicy;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that the experiment detects overspend and false refusals. Without this, a faulty
 * scheme would seem correct in the results.
 */
public class ReplayTests {

	private static final WorkloadRequest FIRST = new WorkloadRequest("req-0", 0, 0, 0, 60, 60, 1_000);

	private static final WorkloadRequest SECOND = new WorkloadRequest("req-1", 1, 0, 0, 60, 60, 1_000);

	private static Workload workload() {
		return new Workload(1, 1, 10_000, List.of(100L), List.of(FIRST, SECOND), List.of(), List.of(), List.of());
	}

	@Test
	public void schemeThatGrantsEverythingOverspends() {
		RunStatistics statistics = new Replay(workload(), (work, control) -> new StubScheme(true)).run();
		assertEquals(statistics.overspentTokens(), 20);
		assertEquals(statistics.overcommittedTokens(), 20);
	}

	@Test
	public void schemeThatRefusesEverythingRefusesFalsely() {
		RunStatistics statistics = new Replay(workload(), (work, control) -> new StubScheme(false)).run();
		assertEquals(statistics.overspentTokens(), 0);
		assertEquals(statistics.connected.falsePercent(), 100.0);
		assertEquals(statistics.connected.avoidablePercent(), 100.0);
	}

	@Test
	public void refusalDueToRunningRequestIsFalseButNotAvoidable() {
		RunStatistics statistics = new Replay(workload(), TableCheckScheme::new).run();
		assertEquals(statistics.connected.falsePercent(), 50.0);
		assertEquals(statistics.connected.avoidablePercent(), 0.0);
	}

	@Test
	public void schemesDoNotOverspendAndRunsAreReproducible() {
		Workload workload = new WorkloadGenerator(3, Duration.ofMinutes(10).toMillis()).generate();
		AdaptiveGrantPolicy policy = AdaptiveGrantPolicy.of(BudgetConfig.Preset.COOPERATIVE);
		List<BiFunction<Workload, ManualControlThread, BudgetScheme>> schemes = List.of(TableCheckScheme::new,
				StaticSplitScheme::new, (generated, control) -> new LedgerScheme(generated, control, policy));
		for (BiFunction<Workload, ManualControlThread, BudgetScheme> scheme : schemes) {
			RunStatistics first = new Replay(workload, scheme).run();
			RunStatistics second = new Replay(workload, scheme).run();
			assertEquals(first.overcommittedTokens(), 0);
			assertEquals(first.falseRefusalsByCause, second.falseRefusalsByCause);
			assertTrue(first.outOfReachSamples > 0);
		}
	}

	private static final class StubScheme implements BudgetScheme {

		private final boolean grants;

		private StubScheme(boolean grants) {
			this.grants = grants;
		}

		@Override
		public void reserve(WorkloadRequest request, Consumer<Decision> onDecision) {
			onDecision.accept((this.grants) ? Decision.granted("stub") : Decision.refused("stub"));
		}

		@Override
		public void onStarted(WorkloadRequest request, String holderId) {
		}

		@Override
		public void onFinished(WorkloadRequest request, String holderId) {
		}

		@Override
		public void topUp(TopUp topUp) {
		}

		@Override
		public void crashHolder(HolderCrash crash) {
		}

		@Override
		public double outOfReachTokens() {
			return 0;
		}

		@Override
		public String diagnose(WorkloadRequest request) {
			return "stub";
		}

		@Override
		public TableLoad tableLoad() {
			return new TableLoad(0, 0, 0);
		}

	}

}
