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
import io.verbenacleat.agent.command.OwnRetries;
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
 * Guards against an agent and an engine that understand the commands of the protocol
 * differently.
 */
public class EngineCommandTests {

	@Test
	public void loadsOnceAtAnEngineThatLosesTheFirstAnswer() {
		EngineSettings settings = new EngineSettings();
		settings.loadMs = 200;
		try (EngineStandin engine = EngineStandin.start(settings);
				SingleControlThread control = new SingleControlThread("control");
				BackendCalls calls = new BackendCalls()) {
			engine.state().loseNextAnswers(1);
			OwnRetries permits = new OwnRetries(EngineCommandTests::fetch, new SplittableRandom(1),
					OwnRetries.MAX_JITTER);
			EngineReconciler agent = new EngineReconciler(control, () -> CompletableFuture.completedFuture(false),
					permits, new CommandMetrics(new PrometheusRegistry()));
			DesiredState desired = new DesiredState(List.of("model-a", "model-b"),
					List.of(new AdapterConfig("brief", "model-b", "2")), "decode");
			control
				.execute(() -> agent.apply(desired, new HttpEngineControl(calls, new BackendTarget(engine.url(), 3))));
			long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
			while (!agent.isServed("brief") && System.nanoTime() < deadline) {
				LockSupport.parkNanos(20_000_000);
			}
			assertTrue(agent.isServed("brief") && agent.isServed("model-b"));
			assertEquals(engine.state().role(), "decode");
			assertEquals(engine.executedCommands().stream().map(ReceivedCommand::kind).toList(),
					List.of("change-role", "load-model", "load-adapter"));
			assertEquals(engine.executedCommands().stream().map(ReceivedCommand::fencingToken).distinct().toList(),
					List.of(3L));
		}
	}

	private static CompletableFuture<WeightsOutcome> fetch(String model) {
		return CompletableFuture.completedFuture(new WeightsOutcome.Found(new WeightsMetadata(model, "1", 1, "")));
	}

}
