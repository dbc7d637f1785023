package io.verbenacleat.agent.command;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.config.AdapterConfig;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.platform.WeightsMetadata;
import io.verbenacleat.core.platform.WeightsOutcome;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against engines that end in the desired state of an old agent, and against
 * repeated loads after a load that succeeded.
 */
@SuppressWarnings("NullAway.Init")
public class EngineReconcilerTests {

	private final List<String> permitRequests = new ArrayList<>();

	private ManualControlThread control;

	private FakeEngine engine;

	private CommandMetrics metrics;

	private WeightsOutcome weightsOutcome;

	private long newestFence;

	private boolean serverRowReadable;

	private long seed;

	@BeforeMethod
	public void start() {
		this.control = new ManualControlThread(Instant.EPOCH);
		this.engine = new FakeEngine();
		this.metrics = new CommandMetrics(new PrometheusRegistry());
		this.weightsOutcome = new WeightsOutcome.Found(new WeightsMetadata("any", "1", 1, ""));
		this.permitRequests.clear();
		this.newestFence = 1;
		this.serverRowReadable = true;
	}

	@Test
	public void bringsAnEmptyEngineToTheDesiredState() {
		EngineReconciler reconciler = reconciler(1);
		reconciler.apply(new DesiredState(List.of("base"), List.of(adapter("1")), "decode"), this.engine.controlFor(1));
		this.control.runPending();
		assertEquals(this.engine.executed.stream().map(EngineCommand::kind).toList(),
				List.of("change-role", "load-model", "load-adapter"));
		assertTrue(reconciler.isServed("base") && reconciler.isServed("brief"));
		assertEquals(this.permitRequests, List.of("base", "brief"));
	}

	// Guards against answers from the weights of another version.
	@Test
	public void doesNotServeAnAdapterOfAnotherVersion() {
		EngineReconciler reconciler = reconciler(1);
		reconciler.apply(adapterState("1"), this.engine.controlFor(1));
		this.control.runPending();
		this.engine.refusesCommands = true;
		reconciler.apply(adapterState("2"), this.engine.controlFor(1));
		this.control.runPending();
		assertFalse(reconciler.isServed("brief"));
		assertTrue(reconciler.isServed("base"));
		assertEquals(this.metrics.retries(RetryReason.COMMAND_REFUSED), 1);
	}

	@Test
	public void newestAgentWinsWhenTheEngineIgnoresFencingTokens() {
		verifyNewestAgentWins();
	}

	@Test
	public void newestAgentWinsWhenTheEngineChecksFencingTokens() {
		this.engine.checksFencing = true;
		this.serverRowReadable = false;
		verifyNewestAgentWins();
	}

	private void verifyNewestAgentWins() {
		EngineReconciler old = reconciler(1);
		old.apply(adapterState("1"), this.engine.controlFor(1));
		this.control.runPending();
		this.newestFence = 2;
		EngineReconciler newest = reconciler(2);
		newest.apply(adapterState("2"), this.engine.controlFor(2));
		this.control.runPending();
		int executed = this.engine.executed.size();
		this.control.advance(Duration.ofMinutes(5));
		assertEquals(this.engine.executed.size(), executed);
		assertEquals(loadedVersion(), "2");
		assertTrue(old.isSuperseded());
		assertFalse(newest.isSuperseded());
	}

	@Test
	public void lateCommandOfAnOldAgentIsCorrectedAfterTheNextRead() {
		this.engine.models.put("base", new EngineState.LoadedModel(null, null, false));
		this.engine.delaysCommands = true;
		EngineReconciler old = reconciler(1);
		old.apply(adapterState("1"), this.engine.controlFor(1));
		this.control.runPending();
		old.clear();
		this.engine.delaysCommands = false;
		this.newestFence = 2;
		reconciler(2).apply(adapterState("2"), this.engine.controlFor(2));
		this.control.advance(Duration.ofSeconds(15));
		this.engine.deliverDelayed();
		assertEquals(loadedVersion(), "1");
		this.control.advance(EngineReconciler.READ_INTERVAL);
		assertEquals(loadedVersion(), "2");
		assertEquals(this.metrics.retries(RetryReason.STATE_REVERTED), 1);
	}

	@Test
	public void lostAnswerDoesNotRepeatALoadThatSucceeded() {
		this.engine.losesAnswers = true;
		EngineReconciler reconciler = reconciler(1);
		reconciler.apply(new DesiredState(List.of("base"), List.of(), null), this.engine.controlFor(1));
		this.control.advance(Duration.ofMinutes(5));
		assertEquals(this.engine.executed.size(), 1);
		assertTrue(reconciler.isServed("base"));
		assertEquals(this.metrics.retries(RetryReason.ANSWER_LOST), 1);
	}

	// Guards against a second load while the engine runs the first without reporting it.
	@Test
	public void lostAnswerDoesNotRepeatALoadThatIsNotReportedYet() {
		this.engine.losesAnswers = true;
		this.engine.hidesLoads = true;
		EngineReconciler reconciler = reconciler(1);
		reconciler.apply(new DesiredState(List.of("base"), List.of(), null), this.engine.controlFor(1));
		this.control.advance(EngineReconciler.RESEND_DELAY.minusSeconds(5));
		this.engine.finishLoads();
		this.control.advance(Duration.ofMinutes(5));
		assertEquals(this.engine.executed.size(), 1);
	}

	// Guards against a command that is never resent although it did not reach the engine.
	@Test
	public void lostCommandIsSentAgain() {
		this.engine.delaysCommands = true;
		EngineReconciler reconciler = reconciler(1);
		reconciler.apply(new DesiredState(List.of("base"), List.of(), null), this.engine.controlFor(1));
		this.control.runPending();
		this.engine.delaysCommands = false;
		this.control.advance(EngineReconciler.RESEND_DELAY.plusSeconds(2));
		assertEquals(this.engine.executed.size(), 1);
		assertTrue(reconciler.isServed("base"));
	}

	// Guards against agents that were refused together and retry together.
	@Test
	public void waitsForTheRetryAfterAndJitter() {
		this.weightsOutcome = new WeightsOutcome.RateLimited(20_000);
		for (int i = 0; i < 10; i++) {
			reconciler(1).apply(new DesiredState(List.of("base"), List.of(), null), this.engine.controlFor(1));
		}
		this.control.advance(Duration.ofSeconds(19));
		assertEquals(this.permitRequests.size(), 10);
		this.control.advance(Duration.ofSeconds(6));
		assertTrue(this.permitRequests.size() > 10 && this.permitRequests.size() < 20,
				"permit requests: " + this.permitRequests.size());
		this.weightsOutcome = new WeightsOutcome.Found(new WeightsMetadata("any", "1", 1, ""));
		this.control.advance(Duration.ofMinutes(2));
		assertTrue(this.engine.models.containsKey("base"));
	}

	// Guards against one model without weights that blocks the loads of all others.
	@Test
	public void modelWithoutWeightsDoesNotBlockAnother() {
		this.weightsOutcome = new WeightsOutcome.Absent();
		reconciler(1).apply(new DesiredState(List.of("absent", "base"), List.of(), null), this.engine.controlFor(1));
		this.control.runPending();
		assertEquals(this.permitRequests, List.of("absent", "base"));
		assertEquals(this.metrics.retries(RetryReason.WEIGHTS_ABSENT), 2);
	}

	@Test
	public void countsFailedStateReads() {
		EngineReconciler reconciler = reconciler(1);
		reconciler.apply(new DesiredState(List.of("base"), List.of(), null), FakeEngine.unreachable());
		this.control.advance(EngineReconciler.SHORT_INTERVAL);
		assertFalse(reconciler.isStateKnown());
		assertEquals(this.metrics.retries(RetryReason.STATE_UNREADABLE), 2);
	}

	private EngineReconciler reconciler(long fence) {
		OwnershipCheck ownershipCheck = () -> (this.serverRowReadable)
				? CompletableFuture.completedFuture(this.newestFence > fence)
				: CompletableFuture.failedFuture(new IOException("the table service is down"));
		PermitPolicy policy = new JitteredRetryPolicy((model) -> {
			this.permitRequests.add(model);
			return CompletableFuture.completedFuture(this.weightsOutcome);
		}, new SplittableRandom(++this.seed), JitteredRetryPolicy.MAX_JITTER);
		return new EngineReconciler(this.control, ownershipCheck, policy, this.metrics);
	}

	private @Nullable String loadedVersion() {
		EngineState.LoadedModel loaded = this.engine.models.get("brief");
		return (loaded != null) ? loaded.version() : null;
	}

	private static DesiredState adapterState(String version) {
		return new DesiredState(List.of("base"), List.of(adapter(version)), null);
	}

	private static AdapterConfig adapter(String version) {
		return new AdapterConfig("brief", "base", version);
	}

}
