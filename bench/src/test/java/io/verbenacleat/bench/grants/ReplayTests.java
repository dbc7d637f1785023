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
 * Guards against an experiment that would not notice overspend or false refusals.
 */
public class ReplayTests {

	private static final WorkRequest FIRST = new WorkRequest("req-0", 0, 0, 0, 60, 60, 1_000);

	private static final WorkRequest SECOND = new WorkRequest("req-1", 1, 0, 0, 60, 60, 1_000);

	private static Work work() {
		return new Work(1, 1, 10_000, List.of(100L), List.of(FIRST, SECOND), List.of(), List.of(), List.of());
	}

	@Test
	public void schemeThatGrantsEverythingOverspends() {
		Tally tally = new Replay(work(), (work, control) -> new StubScheme(true)).run();
		assertEquals(tally.overspentTokens(), 20);
		assertEquals(tally.overcommittedTokens(), 20);
	}

	@Test
	public void schemeThatRefusesEverythingRefusesFalsely() {
		Tally tally = new Replay(work(), (work, control) -> new StubScheme(false)).run();
		assertEquals(tally.overspentTokens(), 0);
		assertEquals(tally.connected.falsePercent(), 100.0);
		assertEquals(tally.connected.avoidablePercent(), 100.0);
	}

	@Test
	public void refusalBecauseOfRunningRequestIsFalseButNotAvoidable() {
		Tally tally = new Replay(work(), TableCheckScheme::new).run();
		assertEquals(tally.connected.falsePercent(), 50.0);
		assertEquals(tally.connected.avoidablePercent(), 0.0);
	}

	@Test
	public void noSchemeOverspendsAndRunsRepeat() {
		Work work = new WorkGenerator(3, Duration.ofMinutes(10).toMillis()).generate();
		AdaptiveGrantPolicy policy = AdaptiveGrantPolicy.of(BudgetConfig.Preset.COOPERATIVE);
		List<BiFunction<Work, ManualControlThread, BudgetScheme>> schemes = List.of(TableCheckScheme::new,
				StaticSplitScheme::new, (made, control) -> new LedgerScheme(made, control, policy));
		for (BiFunction<Work, ManualControlThread, BudgetScheme> scheme : schemes) {
			Tally first = new Replay(work, scheme).run();
			Tally second = new Replay(work, scheme).run();
			assertEquals(first.overcommittedTokens(), 0);
			assertEquals(first.falseByCause, second.falseByCause);
			assertTrue(first.outOfReachSamples > 0);
		}
	}

	private static final class StubScheme implements BudgetScheme {

		private final boolean grants;

		private StubScheme(boolean grants) {
			this.grants = grants;
		}

		@Override
		public void reserve(WorkRequest request, Consumer<Decision> answer) {
			answer.accept((this.grants) ? Decision.granted("stub") : Decision.refused("stub"));
		}

		@Override
		public void started(WorkRequest request, String place) {
		}

		@Override
		public void finished(WorkRequest request, String place) {
		}

		@Override
		public void topUp(TopUp topUp) {
		}

		@Override
		public void lose(HolderLoss loss) {
		}

		@Override
		public double outOfReachTokens() {
			return 0;
		}

		@Override
		public String diagnose(WorkRequest request) {
			return "stub";
		}

		@Override
		public TableLoad load() {
			return new TableLoad(0, 0, 0);
		}

	}

}
