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
 * What the engine stand-in has loaded, the commands that changed it, and the faults of
 * commands. Safe for use by several threads.
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
	 * Sets the time that a load takes from now on.
	 * @param newLoadMs the time in milliseconds, zero or more
	 */
	public void setLoadMs(long newLoadMs) {
		this.loadMs = requireNotNegative("loadMs", newLoadMs);
	}

	/**
	 * Sends no answer to the next commands that are executed.
	 * @param count how many, zero or more
	 */
	public synchronized void loseNextAnswers(int count) {
		this.answersToLose = (int) requireNotNegative("loseAnswers", count);
	}

	/**
	 * Executes the next commands late, after commands that arrive in the meantime, and
	 * sends no answer to them.
	 * @param count how many, zero or more
	 * @param byMs the delay in milliseconds, zero or more
	 */
	public synchronized void delayNextCommands(int count, long byMs) {
		this.commandsToDelay = (int) requireNotNegative("lateCommands", count);
		this.commandDelayMs = requireNotNegative("lateByMs", byMs);
	}

	/**
	 * Returns whether commands that have not arrived yet are to be executed late.
	 * @return {@code true} when the next command is executed late
	 */
	public synchronized boolean hasCommandsToDelay() {
		return this.commandsToDelay > 0;
	}

	/**
	 * Forgets what was loaded, as a restart of the engine does.
	 */
	public void unloadAll() {
		this.loaded.clear();
	}

	/**
	 * Returns the executed commands.
	 * @return the commands in the order of their execution
	 */
	public List<ReceivedCommand> executedCommands() {
		return List.copyOf(this.executedCommands);
	}

	/**
	 * Returns what is loaded or being loaded.
	 * @return the models and adapters by name, in ascending order
	 */
	public Collection<LoadedModel> models() {
		return List.copyOf(this.loaded.values());
	}

	/**
	 * Returns the role.
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
	 * Executes a command.
	 * @param command the command
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
	 * Applies a change that came over HTTP; members that are absent change nothing.
	 * @param change the change
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
	 * A change over HTTP. Immutable; a member that is {@code null} changes nothing.
	 *
	 * @param loadMs the time that a load takes
	 * @param loseAnswers how many answers to executed commands to lose
	 * @param lateCommands how many commands to execute late, without an answer
	 * @param lateByMs how late
	 */
	record Change(@Nullable Long loadMs, @Nullable Integer loseAnswers, @Nullable Integer lateCommands,
			@Nullable Long lateByMs) {
	}

	/**
	 * A model or adapter that is loaded or being loaded. Immutable.
	 *
	 * @param id the name
	 * @param object {@code model}
	 * @param ownedBy the owner
	 * @param parent the model of an adapter, {@code null} for a model
	 * @param version the version, {@code null} when the command gave none
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
