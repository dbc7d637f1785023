package io.verbenacleat.agent.command;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.verbenacleat.core.control.ControlThread;

/**
 * Commands that must not be sent again for a time, so that one which may still take
 * effect is not executed twice, and one that cannot succeed now does not keep others from
 * being sent. Control thread only.
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
	 * Forgets that a command was accepted.
	 * @param command the command
	 * @return {@code true} when it was accepted before
	 */
	boolean removeAccepted(EngineCommand command) {
		return this.accepted.remove(command);
	}

	/**
	 * Forgets commands that a new desired state does not need any more.
	 */
	void clearAccepted() {
		this.accepted.clear();
	}

}
