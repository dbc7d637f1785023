package io.verbenacleat.itest.office;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.agent.backend.BackendCalls;
import io.verbenacleat.agent.backend.BackendTarget;
import io.verbenacleat.agent.command.CommandMetrics;
import io.verbenacleat.agent.command.DesiredState;
import io.verbenacleat.agent.command.EngineReconciler;
import io.verbenacleat.agent.command.HttpEngineControl;
import io.verbenacleat.agent.command.JitteredRetryPolicy;
import io.verbenacleat.core.config.AdapterConfig;
import io.verbenacleat.core.control.SingleControlThread;
import io.verbenacleat.core.platform.WeightsMetadata;
import io.verbenacleat.core.platform.WeightsOutcome;
import io.verbenacleat.standins.EngineSettings;
import io.verbenacleat.standins.EngineStandin;
import io.verbenacleat.standins.ReceivedCommand;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against an agent and an engine that implement the command protocol differently.
 */
public class EngineCommandTests {

	@Test
	public void loadsEachModelOnceWhenTheFirstAnswerIsLost() {
		EngineSettings settings = new EngineSettings();
		settings.loadMs = 200;
		try (EngineStandin engine = EngineStandin.start(settings);
				SingleControlThread control = new SingleControlThread("control");
				BackendCalls calls = new BackendCalls()) {
			engine.state().loseNextAnswers(1);
			JitteredRetryPolicy weights = new JitteredRetryPolicy(EngineCommandTests::fetchWeights,
					new SplittableRandom(1), JitteredRetryPolicy.MAX_JITTER);
			EngineReconciler reconciler = new EngineReconciler(control, () -> CompletableFuture.completedFuture(false),
					weights, new CommandMetrics(new PrometheusRegistry()));
			DesiredState desired = new DesiredState(List.of("model-a", "model-b"),
					List.of(new AdapterConfig("brief", "model-b", "2")), "decode");
			control.execute(
					() -> reconciler.apply(desired, new HttpEngineControl(calls, new BackendTarget(engine.url(), 3))));
			long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
			while (!reconciler.isServed("brief") && System.nanoTime() < endNanos) {
				LockSupport.parkNanos(20_000_000);
			}
			assertTrue(reconciler.isServed("brief") && reconciler.isServed("model-b"));
			assertEquals(engine.state().role(), "decode");
			assertEquals(engine.executedCommands().stream().map(ReceivedCommand::kind).toList(),
					List.of("change-role", "load-model", "load-adapter"));
			assertEquals(engine.executedCommands().stream().map(ReceivedCommand::fencingToken).distinct().toList(),
					List.of(3L));
		}
	}

	private static CompletableFuture<WeightsOutcome> fetchWeights(String model) {
		return CompletableFuture.completedFuture(new WeightsOutcome.Found(new WeightsMetadata(model, "1", 1, "")));
	}

}
