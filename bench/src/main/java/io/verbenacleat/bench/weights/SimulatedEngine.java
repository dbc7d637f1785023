package io.verbenacleat.bench.weights;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import io.verbenacleat.agent.command.CommandOutcome;
import io.verbenacleat.agent.command.EngineCommand;
import io.verbenacleat.agent.command.EngineControl;
import io.verbenacleat.agent.command.EngineState;
import io.verbenacleat.core.control.ManualControlThread;

/**
 * A simulated engine that starts without models and loads a model in 20 s. Not safe for
 * use by several threads.
 */
final class SimulatedEngine implements EngineControl {

	private static final Duration LOAD_DURATION = Duration.ofSeconds(20);

	private final ManualControlThread control;

	private final Consumer<String> onLoaded;

	private final Map<String, EngineState.LoadedModel> models = new HashMap<>();

	SimulatedEngine(ManualControlThread control, Consumer<String> onLoaded) {
		this.control = control;
		this.onLoaded = onLoaded;
	}

	@Override
	public CompletableFuture<EngineState> readState() {
		return RoundTrip.delayed(this.control, () -> new EngineState(this.models, null));
	}

	@Override
	public CompletableFuture<CommandOutcome> send(EngineCommand command) {
		return RoundTrip.delayed(this.control, () -> load(String.valueOf(command.model())));
	}

	private CommandOutcome load(String model) {
		this.models.put(model, new EngineState.LoadedModel(null, null, true));
		this.control.schedule(LOAD_DURATION, () -> {
			this.models.put(model, new EngineState.LoadedModel(null, null, false));
			this.onLoaded.accept(model);
		});
		return CommandOutcome.ACCEPTED;
	}

}
