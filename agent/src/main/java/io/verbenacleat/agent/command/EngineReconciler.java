package io.verbenacleat.agent.command;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Brings an engine to its desired state: reads what the engine reports, sends the command
 * for the first difference, and reads again. Only a read tells whether a command worked.
 * Control thread only, except {@link #isServed}, {@link #isKnown} and
 * {@link #isSuperseded}.
 * <p>
 * A command of an earlier agent may be executed late by an engine that ignores fencing
 * numbers; the next read shows the difference. An agent that finds out that a newer one
 * exists, from the engine or from the row of the server, sends nothing more.
 */
public final class EngineReconciler implements AutoCloseable {

	/** Bounds how long a change that this agent did not make stays unnoticed. */
	static final Duration READ_INTERVAL = Duration.ofSeconds(10);

	/** Between reads while something loads or failed. */
	static final Duration SHORT_INTERVAL = Duration.ofSeconds(1);

	/**
	 * How long a command without an answer is not sent again. The engine may have got it
	 * and may not report it yet.
	 */
	static final Duration RESEND_DELAY = Duration.ofSeconds(30);

	/**
	 * How long a command that was accepted is not sent again if the engine does not
	 * report its effect, and one that was refused is not tried again.
	 */
	static final Duration REPEAT_DELAY = READ_INTERVAL;

	private static final Duration ABSENT_DELAY = Duration.ofSeconds(30);

	private static final Logger logger = LogManager.getLogger(EngineReconciler.class);

	private final ControlThread control;

	private final Ownership ownership;

	private final CommandMetrics metrics;

	private final PermitSource permits;

	private final HeldCommands held;

	private @Nullable EngineControl engine;

	private @Nullable Cancellable timer;

	private boolean busy;

	/**
	 * Tells an answer of an engine that was replaced meanwhile from one of the present.
	 */
	private int generation;

	private volatile @Nullable View view;

	private volatile boolean superseded;

	/**
	 * Creates a reconciler that does nothing until {@link #apply}.
	 * @param control the control thread
	 * @param ownership tells whether a newer agent exists
	 * @param policy gives the permits of loads
	 * @param metrics counts commands and retries
	 */
	public EngineReconciler(ControlThread control, Ownership ownership, PermitPolicy policy, CommandMetrics metrics) {
		this.control = control;
		this.ownership = ownership;
		this.metrics = metrics;
		this.permits = new PermitSource(control, policy, metrics);
		this.held = new HeldCommands(control);
	}

	/**
	 * Takes a new desired state and starts to work towards it.
	 * @param desired what the engine is to have
	 * @param newEngine the engine
	 */
	public void apply(DesiredState desired, EngineControl newEngine) {
		View present = this.view;
		this.engine = newEngine;
		this.view = new View(desired, (present != null) ? present.state() : null);
		this.generation++;
		this.busy = false;
		this.held.forgetAccepted();
		step();
	}

	/**
	 * Stops to send commands, for an agent whose backend server is no model engine.
	 */
	public void clear() {
		this.engine = null;
		this.view = null;
		this.generation++;
		close();
	}

	/**
	 * Returns whether the engine has a model or adapter as the configuration wants it.
	 * @param name the model or adapter
	 * @return {@code true} when the last read showed it
	 */
	public boolean isServed(String name) {
		View present = this.view;
		EngineState state = (present != null) ? present.state() : null;
		return present != null && state != null && present.desired().isServed(name, state);
	}

	/**
	 * Returns whether the engine has ever reported its state.
	 * @return {@code true} after the first read
	 */
	public boolean isKnown() {
		View present = this.view;
		return present != null && present.state() != null;
	}

	/**
	 * Returns whether a newer agent of the same backend server exists.
	 * @return {@code true} when this agent must not send commands
	 */
	public boolean isSuperseded() {
		return this.superseded;
	}

	@Override
	public void close() {
		Cancellable present = this.timer;
		if (present != null) {
			present.cancel();
		}
		this.timer = null;
	}

	private void step() {
		close();
		EngineControl target = this.engine;
		if (this.busy || target == null) {
			return;
		}
		this.busy = true;
		int present = this.generation;
		target.readState().whenCompleteAsync((state, failure) -> {
			if (present == this.generation) {
				this.busy = false;
				take(Optional.ofNullable(state));
			}
		}, this.control);
	}

	private void take(Optional<EngineState> read) {
		EngineState state = read.orElse(null);
		View present = this.view;
		if (state == null || present == null) {
			this.metrics.retry(RetryReason.STATE_UNREADABLE);
			stepAfter(SHORT_INTERVAL);
			return;
		}
		this.view = new View(present.desired(), state);
		List<EngineCommand> commands = present.desired().commands(state);
		Optional<EngineCommand> next = commands.stream().filter((command) -> !this.held.isHeld(command)).findFirst();
		if (this.superseded || commands.isEmpty()) {
			stepAfter(READ_INTERVAL);
		}
		else if (state.isLoading() || next.isEmpty()) {
			stepAfter(SHORT_INTERVAL);
		}
		else {
			prepare(next.get());
		}
	}

	private void prepare(EngineCommand command) {
		String weights = command.weights();
		if (weights == null || this.permits.has(weights)) {
			checkOwner(command);
			return;
		}
		Duration delay = this.permits.delay();
		if (!delay.isZero()) {
			stepAfter((delay.compareTo(READ_INTERVAL) < 0) ? delay : READ_INTERVAL);
			return;
		}
		this.busy = true;
		int present = this.generation;
		this.permits.request(weights).thenAccept((known) -> {
			if (!known) {
				this.held.hold(command, ABSENT_DELAY);
			}
			if (present == this.generation) {
				this.busy = false;
				step();
			}
		});
	}

	/**
	 * Sends a command unless a newer agent exists. The command is sent if the row cannot
	 * be read: otherwise an engine that restarts while the table service is down would
	 * stay empty.
	 * @param command the command
	 */
	private void checkOwner(EngineCommand command) {
		this.busy = true;
		int present = this.generation;
		this.ownership.isSuperseded().whenCompleteAsync((newer, failure) -> {
			if (present != this.generation) {
				return;
			}
			this.busy = false;
			if (failure == null && newer) {
				supersede();
			}
			else {
				send(command);
			}
		}, this.control);
	}

	private void send(EngineCommand command) {
		EngineControl target = this.engine;
		if (target == null) {
			return;
		}
		if (this.held.wasAccepted(command)) {
			this.metrics.retry(RetryReason.STATE_REVERTED);
		}
		this.busy = true;
		this.held.hold(command, RESEND_DELAY);
		this.metrics.sent(command);
		int present = this.generation;
		target.send(command).whenCompleteAsync((outcome, failure) -> {
			if (present == this.generation) {
				this.busy = false;
				finish(command, (outcome != null) ? outcome : CommandOutcome.UNKNOWN);
			}
		}, this.control);
	}

	private void finish(EngineCommand command, CommandOutcome outcome) {
		if (outcome == CommandOutcome.ACCEPTED || outcome == CommandOutcome.UNKNOWN) {
			this.permits.use();
		}
		switch (outcome) {
			case ACCEPTED -> {
				logger.info("The engine accepted {}", command);
				this.held.accepted(command);
				this.held.hold(command, REPEAT_DELAY);
				step();
			}
			case FENCED -> supersede();
			case UNKNOWN -> retry(RetryReason.ANSWER_LOST);
			case NOT_SENT -> {
				this.held.hold(command, SHORT_INTERVAL);
				retry(RetryReason.COMMAND_NOT_SENT);
			}
			case REFUSED -> {
				this.held.hold(command, REPEAT_DELAY);
				retry(RetryReason.COMMAND_REFUSED);
			}
			default -> throw new IllegalStateException("Unknown outcome " + outcome);
		}
	}

	private void retry(RetryReason reason) {
		this.metrics.retry(reason);
		stepAfter(SHORT_INTERVAL);
	}

	private void supersede() {
		this.superseded = true;
		logger.warn("A newer agent of this backend server exists, no commands are sent any more");
		stepAfter(READ_INTERVAL);
	}

	private void stepAfter(Duration delay) {
		this.timer = this.control.schedule(delay, this::step);
	}

	/**
	 * What is wanted and what was read last. Immutable.
	 *
	 * @param desired what the engine is to have
	 * @param state what it reported, {@code null} before the first read
	 */
	private record View(DesiredState desired, @Nullable EngineState state) {
	}

}
