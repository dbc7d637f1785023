package io.verbenacleat.agent.command;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

/**
 * A fake engine that accepts commands of several agents and can inject faults. Not safe
 * for use by several threads.
 */
final class FakeEngine {

	final Map<String, EngineState.LoadedModel> models = new TreeMap<>();

	final List<EngineCommand> executed = new ArrayList<>();

	@Nullable
	String role;

	boolean checksFencing;

	boolean losesAnswers;

	boolean refusesCommands;

	/** Whether commands reach the engine only at {@link #deliverDelayed}. */
	boolean delaysCommands;

	/**
	 * Whether commands take effect only at {@link #finishLoads} and are not reported
	 * before.
	 */
	boolean hidesLoads;

	private final List<Runnable> delayed = new ArrayList<>();

	private final List<Runnable> pendingLoads = new ArrayList<>();

	private long highestFence;

	EngineControl controlFor(long fence) {
		return new EngineControl() {

			@Override
			public CompletableFuture<EngineState> readState() {
				return CompletableFuture.completedFuture(new EngineState(FakeEngine.this.models, FakeEngine.this.role));
			}

			@Override
			public CompletableFuture<CommandOutcome> send(EngineCommand command) {
				return receive(command, fence);
			}

		};
	}

	static EngineControl unreachable() {
		return new EngineControl() {

			@Override
			public CompletableFuture<EngineState> readState() {
				return CompletableFuture.failedFuture(new IOException("no connection"));
			}

			@Override
			public CompletableFuture<CommandOutcome> send(EngineCommand command) {
				return CompletableFuture.completedFuture(CommandOutcome.NOT_SENT);
			}

		};
	}

	void deliverDelayed() {
		this.delayed.forEach(Runnable::run);
		this.delayed.clear();
	}

	void finishLoads() {
		this.pendingLoads.forEach(Runnable::run);
		this.pendingLoads.clear();
	}

	private CompletableFuture<CommandOutcome> receive(EngineCommand command, long fence) {
		if (this.delaysCommands) {
			this.delayed.add(() -> execute(command, fence));
			return CompletableFuture.completedFuture(CommandOutcome.UNKNOWN);
		}
		CommandOutcome outcome = execute(command, fence);
		return CompletableFuture.completedFuture((this.losesAnswers) ? CommandOutcome.UNKNOWN : outcome);
	}

	private CommandOutcome execute(EngineCommand command, long fence) {
		if (this.checksFencing && fence < this.highestFence) {
			return CommandOutcome.FENCED;
		}
		this.highestFence = Math.max(this.highestFence, fence);
		if (this.refusesCommands) {
			return CommandOutcome.REFUSED;
		}
		this.executed.add(command);
		this.pendingLoads.add(() -> apply(command));
		if (!this.hidesLoads) {
			finishLoads();
		}
		return CommandOutcome.ACCEPTED;
	}

	private void apply(EngineCommand command) {
		String name = command.weightsName();
		if (name == null) {
			this.role = command.role();
			return;
		}
		String parent = (command.adapter() != null) ? command.model() : null;
		this.models.put(name, new EngineState.LoadedModel(parent, command.version(), false));
	}

}
