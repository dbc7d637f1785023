package io.verbenacleat.agent.command;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.verbenacleat.core.control.ControlThread;

/**
 * Delays the resending of commands, so that a command that may still take effect is not
 * executed twice, and one that cannot succeed now does not block others. Also records
 * which commands the engine accepted. Must be used on the control thread.
 */
final class CommandBackoff {

	private final ControlThread control;

	private final Map<EngineCommand, Long> retryAtNanos = new HashMap<>();

	private final Set<EngineCommand> accepted = new HashSet<>();

	CommandBackoff(ControlThread control) {
		this.control = control;
	}

	void suppress(EngineCommand command, Duration duration) {
		this.retryAtNanos.put(command, this.control.nanoTime() + duration.toNanos());
	}

	boolean isSuppressed(EngineCommand command) {
		long nowNanos = this.control.nanoTime();
		this.retryAtNanos.values().removeIf((retryAt) -> retryAt - nowNanos <= 0);
		return this.retryAtNanos.containsKey(command);
	}

	void recordAccepted(EngineCommand command) {
		this.accepted.add(command);
	}

	/**
	 * Removes the record that a command was accepted.
	 * @param command the command
	 * @return {@code true} when there was a record
	 */
	boolean removeAccepted(EngineCommand command) {
		return this.accepted.remove(command);
	}

	/**
	 * Removes the records of accepted commands, which a new desired state may not need.
	 */
	void clearAccepted() {
		this.accepted.clear();
	}

}
