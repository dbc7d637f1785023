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
 * Brings an engine to its desired state: reads the state that the engine reports, sends
 * the command for the first difference, and reads again. Only a read shows whether a
 * command took effect. Must be used on the control thread, except {@link #isServed},
 * {@link #isStateKnown} and {@link #isSuperseded}, which any thread may call.
 * <p>
 * An engine that ignores fencing tokens may execute a command of an earlier agent late;
 * the next read shows the difference. Once the engine or the row of the backend server
 * shows that a newer agent exists, this agent sends no more commands.
 */
public final class EngineReconciler implements AutoCloseable {

	/**
	 * The interval of state reads, which bounds the time until a change made by others is
	 * detected.
	 */
	static final Duration READ_INTERVAL = Duration.ofSeconds(10);

	/** The interval of state reads during a load and after a failure. */
	static final Duration SHORT_INTERVAL = Duration.ofSeconds(1);

	/**
	 * The delay before a command without a response is sent again. The engine may have
	 * received the command and not report its effect yet.
	 */
	static final Duration RESEND_DELAY = Duration.ofSeconds(30);

	/**
	 * The delay before an accepted command is sent again if the engine does not report
	 * its effect, and before a refused command is retried.
	 */
	static final Duration REPEAT_DELAY = READ_INTERVAL;

	private static final Duration ABSENT_WEIGHTS_DELAY = Duration.ofSeconds(30);

	private static final Logger logger = LogManager.getLogger(EngineReconciler.class);

	private final ControlThread control;

	private final OwnershipCheck ownershipCheck;

	private final CommandMetrics metrics;

	private final PermitSource permits;

	private final CommandBackoff backoff;

	private @Nullable EngineControl engine;

	private @Nullable Cancellable timer;

	private boolean callInFlight;

	/**
	 * Incremented when the engine is replaced or removed, so that results of earlier
	 * calls are ignored.
	 */
	private int generation;

	private volatile @Nullable Snapshot snapshot;

	private volatile boolean superseded;

	/**
	 * Creates a reconciler that is idle until {@link #apply} is called.
	 * @param control the control thread
	 * @param ownershipCheck detects a newer agent of the same backend server
	 * @param policy decides when permits for loads are requested
	 * @param metrics counts commands and retries
	 */
	public EngineReconciler(ControlThread control, OwnershipCheck ownershipCheck, PermitPolicy policy,
			CommandMetrics metrics) {
		this.control = control;
		this.ownershipCheck = ownershipCheck;
		this.metrics = metrics;
		this.permits = new PermitSource(control, policy, metrics);
		this.backoff = new CommandBackoff(control);
	}

	/**
	 * Sets a new desired state and starts to reconcile the engine with it.
	 * @param desired the desired state
	 * @param newEngine the engine
	 */
	public void apply(DesiredState desired, EngineControl newEngine) {
		Snapshot previous = this.snapshot;
		this.engine = newEngine;
		this.snapshot = new Snapshot(desired, (previous != null) ? previous.state() : null);
		this.generation++;
		this.callInFlight = false;
		this.backoff.clearAccepted();
		reconcile();
	}

	/**
	 * Stops reconciling, for an agent whose backend server is not a configured model
	 * engine.
	 */
	public void clear() {
		this.engine = null;
		this.snapshot = null;
		this.generation++;
		close();
	}

	/**
	 * Returns whether the engine has loaded a model or adapter as the configuration
	 * requires.
	 * @param name the model or adapter
	 * @return {@code true} when the last read showed it
	 */
	public boolean isServed(String name) {
		Snapshot current = this.snapshot;
		EngineState state = (current != null) ? current.state() : null;
		return current != null && state != null && current.desired().isServed(name, state);
	}

	/**
	 * Returns whether the state of the engine was read.
	 * @return {@code true} after the first successful read
	 */
	public boolean isStateKnown() {
		Snapshot current = this.snapshot;
		return current != null && current.state() != null;
	}

	/**
	 * Returns whether a newer agent of the same backend server exists.
	 * @return {@code true} when this agent sends no more commands
	 */
	public boolean isSuperseded() {
		return this.superseded;
	}

	@Override
	public void close() {
		Cancellable pending = this.timer;
		if (pending != null) {
			pending.cancel();
		}
		this.timer = null;
	}

	private void reconcile() {
		close();
		EngineControl target = this.engine;
		if (this.callInFlight || target == null) {
			return;
		}
		this.callInFlight = true;
		int startGeneration = this.generation;
		target.readState().whenCompleteAsync((state, failure) -> {
			if (startGeneration == this.generation) {
				this.callInFlight = false;
				applyState(Optional.ofNullable(state));
			}
		}, this.control);
	}

	private void applyState(Optional<EngineState> result) {
		EngineState state = result.orElse(null);
		Snapshot current = this.snapshot;
		if (state == null || current == null) {
			this.metrics.countRetry(RetryReason.STATE_UNREADABLE);
			reconcileAfter(SHORT_INTERVAL);
			return;
		}
		this.snapshot = new Snapshot(current.desired(), state);
		List<EngineCommand> commands = current.desired().commands(state);
		Optional<EngineCommand> next = commands.stream()
			.filter((command) -> !this.backoff.isSuppressed(command))
			.findFirst();
		if (this.superseded || commands.isEmpty()) {
			reconcileAfter(READ_INTERVAL);
		}
		else if (state.isLoading() || next.isEmpty()) {
			reconcileAfter(SHORT_INTERVAL);
		}
		else {
			ensurePermit(next.get());
		}
	}

	private void ensurePermit(EngineCommand command) {
		String weightsName = command.weightsName();
		if (weightsName == null || this.permits.hasPermit(weightsName)) {
			sendUnlessSuperseded(command);
			return;
		}
		Duration delay = this.permits.remainingDelay();
		if (!delay.isZero()) {
			reconcileAfter((delay.compareTo(READ_INTERVAL) < 0) ? delay : READ_INTERVAL);
			return;
		}
		this.callInFlight = true;
		int startGeneration = this.generation;
		this.permits.requestPermit(weightsName).thenAccept((found) -> {
			if (!found) {
				this.backoff.suppress(command, ABSENT_WEIGHTS_DELAY);
			}
			if (startGeneration == this.generation) {
				this.callInFlight = false;
				reconcile();
			}
		});
	}

	/**
	 * Sends a command unless a newer agent exists. The command is also sent when the row
	 * of the backend server cannot be read: otherwise an engine that restarts while the
	 * table service is down would stay empty.
	 * @param command the command
	 */
	private void sendUnlessSuperseded(EngineCommand command) {
		this.callInFlight = true;
		int startGeneration = this.generation;
		this.ownershipCheck.isSuperseded().whenCompleteAsync((newer, failure) -> {
			if (startGeneration != this.generation) {
				return;
			}
			this.callInFlight = false;
			if (failure == null && newer) {
				markSuperseded();
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
		if (this.backoff.removeAccepted(command)) {
			this.metrics.countRetry(RetryReason.STATE_REVERTED);
		}
		this.callInFlight = true;
		this.backoff.suppress(command, RESEND_DELAY);
		this.metrics.countCommand(command);
		int startGeneration = this.generation;
		target.send(command).whenCompleteAsync((outcome, failure) -> {
			if (startGeneration == this.generation) {
				this.callInFlight = false;
				handleOutcome(command, (outcome != null) ? outcome : CommandOutcome.UNKNOWN);
			}
		}, this.control);
	}

	private void handleOutcome(EngineCommand command, CommandOutcome outcome) {
		if (outcome == CommandOutcome.ACCEPTED || outcome == CommandOutcome.UNKNOWN) {
			this.permits.consume();
		}
		switch (outcome) {
			case ACCEPTED -> {
				logger.info("Engine accepted command {}", command);
				this.backoff.recordAccepted(command);
				this.backoff.suppress(command, REPEAT_DELAY);
				reconcile();
			}
			case FENCED -> markSuperseded();
			case UNKNOWN -> scheduleRetry(RetryReason.ANSWER_LOST);
			case NOT_SENT -> {
				this.backoff.suppress(command, SHORT_INTERVAL);
				scheduleRetry(RetryReason.COMMAND_NOT_SENT);
			}
			case REFUSED -> {
				this.backoff.suppress(command, REPEAT_DELAY);
				scheduleRetry(RetryReason.COMMAND_REFUSED);
			}
			default -> throw new IllegalStateException("Unexpected outcome " + outcome);
		}
	}

	private void scheduleRetry(RetryReason reason) {
		this.metrics.countRetry(reason);
		reconcileAfter(SHORT_INTERVAL);
	}

	private void markSuperseded() {
		this.superseded = true;
		logger.warn("A newer agent of this backend server exists; no more commands are sent");
		reconcileAfter(READ_INTERVAL);
	}

	private void reconcileAfter(Duration delay) {
		this.timer = this.control.schedule(delay, this::reconcile);
	}

	/**
	 * The desired state and the state that was read last. Immutable.
	 *
	 * @param desired the desired state
	 * @param state the state that the engine reported, {@code null} before the first read
	 */
	private record Snapshot(DesiredState desired, @Nullable EngineState state) {
	}

}
