package io.verbenacleat.standins;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;

/**
 * The state of an engine stand-in: its role, the loaded models and adapters, and the
 * commands that it executed. Tests switch faults of the command path here, such as lost
 * answers and delayed execution. Safe for use by several threads.
 */
public final class EngineState {

	private final Map<String, LoadedModel> loaded = new ConcurrentSkipListMap<>();

	private final List<ReceivedCommand> executedCommands = new CopyOnWriteArrayList<>();

	private final ScheduledExecutorService timers;

	private volatile String role;

	private volatile long loadMs;

	private int answersToLose;

	private int commandsToDelay;

	private long commandDelayMs;

	EngineState(EngineSettings settings, ScheduledExecutorService timers) {
		this.timers = timers;
		this.role = settings.role;
		this.loadMs = settings.loadMs;
		settings.modelNames().forEach((name) -> this.loaded.put(name, LoadedModel.of(name, null, null)));
	}

	/**
	 * Sets the time that later loads take.
	 * @param newLoadMs the time in milliseconds, zero or more
	 */
	public void setLoadMs(long newLoadMs) {
		this.loadMs = requireNotNegative("loadMs", newLoadMs);
	}

	/**
	 * Executes the next commands without sending their answers. Delayed commands, which
	 * have no answer anyway, do not count.
	 * @param count the number of commands, zero or more
	 */
	public synchronized void loseNextAnswers(int count) {
		this.answersToLose = (int) requireNotNegative("loseAnswers", count);
	}

	/**
	 * Delays the execution of the next commands and sends no answer to them. Commands
	 * that arrive during the delay are executed first.
	 * @param count the number of commands, zero or more
	 * @param byMs the delay in milliseconds, zero or more
	 */
	public synchronized void delayNextCommands(int count, long byMs) {
		this.commandsToDelay = (int) requireNotNegative("lateCommands", count);
		this.commandDelayMs = requireNotNegative("lateByMs", byMs);
	}

	/**
	 * Returns whether the next command to arrive will be delayed.
	 * @return {@code true} until the number of commands to delay is used up
	 */
	public synchronized boolean hasCommandsToDelay() {
		return this.commandsToDelay > 0;
	}

	/**
	 * Unloads all models and adapters, as a restart of the engine does.
	 */
	public void unloadAll() {
		this.loaded.clear();
	}

	/**
	 * Returns the executed commands.
	 * @return a copy, in order of execution
	 */
	public List<ReceivedCommand> executedCommands() {
		return List.copyOf(this.executedCommands);
	}

	/**
	 * Returns the models and adapters that are loaded or being loaded.
	 * @return a copy, in ascending order of names
	 */
	public Collection<LoadedModel> models() {
		return List.copyOf(this.loaded.values());
	}

	/**
	 * Returns the role of the engine.
	 * @return the role
	 */
	public String role() {
		return this.role;
	}

	boolean serves(String name) {
		LoadedModel model = this.loaded.get(name);
		return model != null && !model.isLoading();
	}

	/**
	 * Executes and records a command. A load ends after the load time.
	 * @param command a complete command
	 */
	void execute(ReceivedCommand command) {
		this.executedCommands.add(command);
		String name = command.loadedName();
		if (name == null) {
			this.role = String.valueOf(command.role());
			return;
		}
		LoadedModel model = LoadedModel.of(name, (name.equals(command.adapter())) ? command.model() : null,
				command.version());
		Duration duration = Duration.ofMillis(this.loadMs);
		if (duration.isZero()) {
			this.loaded.put(name, model);
			return;
		}
		LoadedModel loading = model.withStatus(LoadedModel.LOADING);
		this.loaded.put(name, loading);
		StandinServer.schedule(this.timers, duration, () -> this.loaded.replace(name, loading, model));
	}

	synchronized @Nullable Duration takeCommandDelay() {
		if (this.commandsToDelay == 0) {
			return null;
		}
		this.commandsToDelay--;
		return Duration.ofMillis(this.commandDelayMs);
	}

	synchronized boolean takeLostAnswer() {
		if (this.answersToLose == 0) {
			return false;
		}
		this.answersToLose--;
		return true;
	}

	/**
	 * Applies a change of the load time and the faults.
	 * @param change the change; components that are {@code null} change nothing
	 */
	synchronized void apply(Change change) {
		if (change.loadMs() != null) {
			setLoadMs(change.loadMs());
		}
		if (change.loseAnswers() != null) {
			loseNextAnswers(change.loseAnswers());
		}
		if (change.lateCommands() != null) {
			delayNextCommands(change.lateCommands(), (change.lateByMs() != null) ? change.lateByMs() : 0);
		}
	}

	private static long requireNotNegative(String name, long value) {
		if (value < 0) {
			throw new IllegalArgumentException(name + ": found " + value + ", allowed is zero or more");
		}
		return value;
	}

	/**
	 * Body of {@code POST /standin/commands}. Components that are {@code null} change
	 * nothing. Immutable.
	 *
	 * @param loadMs the time that a load takes, in milliseconds
	 * @param loseAnswers the number of executed commands that get no answer
	 * @param lateCommands the number of commands that are delayed and get no answer
	 * @param lateByMs the delay in milliseconds, 0 when absent; read only together with
	 * {@code lateCommands}
	 */
	record Change(@Nullable Long loadMs, @Nullable Integer loseAnswers, @Nullable Integer lateCommands,
			@Nullable Long lateByMs) {
	}

	/**
	 * A model or adapter that is loaded or being loaded. Immutable.
	 *
	 * @param id the name
	 * @param object always {@code model}
	 * @param ownedBy always {@code standin}
	 * @param parent the base model of an adapter, {@code null} for a model
	 * @param version the version, {@code null} when none was given
	 * @param status {@code loaded} or {@code loading}
	 */
	@JsonInclude(JsonInclude.Include.NON_NULL)
	public record LoadedModel(String id, String object, @JsonProperty("owned_by") String ownedBy,
			@Nullable String parent, @Nullable String version, String status) {

		private static final String LOADING = "loading";

		private static LoadedModel of(String id, @Nullable String parent, @Nullable String version) {
			return new LoadedModel(id, "model", "standin", parent, version, "loaded");
		}

		private LoadedModel withStatus(String newStatus) {
			return new LoadedModel(this.id, this.object, this.ownedBy, this.parent, this.version, newStatus);
		}

		private boolean isLoading() {
			return LOADING.equals(this.status);
		}

	}

}
