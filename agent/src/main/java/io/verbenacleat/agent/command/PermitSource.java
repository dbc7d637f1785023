package io.verbenacleat.agent.command;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.platform.WeightsOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Requests permits from the weight store, for one load at a time. A permit is valid until
 * a command that uses it may have been sent. Must be used on the control thread.
 */
final class PermitSource {

	private static final Duration UNREACHABLE_DELAY = Duration.ofSeconds(2);

	private final ControlThread control;

	private final PermitPolicy policy;

	private final CommandMetrics metrics;

	private @Nullable String permittedName;

	private @Nullable Long notBeforeNanos;

	PermitSource(ControlThread control, PermitPolicy policy, CommandMetrics metrics) {
		this.control = control;
		this.policy = policy;
		this.metrics = metrics;
	}

	boolean hasPermit(String name) {
		return name.equals(this.permittedName);
	}

	/**
	 * Returns the delay until a permit may be requested.
	 * @return the delay, zero when a permit may be requested now
	 */
	Duration remainingDelay() {
		Long notBefore = this.notBeforeNanos;
		return (notBefore != null) ? Duration.ofNanos(Math.max(0, notBefore - this.control.nanoTime())) : Duration.ZERO;
	}

	/**
	 * Requests a permit.
	 * @param name the model or adapter
	 * @return a future with {@code false} when the store has no such weights,
	 * {@code true} otherwise; completes on the control thread
	 */
	CompletableFuture<Boolean> requestPermit(String name) {
		return this.policy.requestPermit(name)
			.handleAsync((outcome, failure) -> applyOutcome(name, Optional.ofNullable(outcome)), this.control);
	}

	void consume() {
		this.permittedName = null;
	}

	private boolean applyOutcome(String name, Optional<WeightsOutcome> result) {
		WeightsOutcome outcome = result.orElse(null);
		this.notBeforeNanos = null;
		if (outcome instanceof WeightsOutcome.Found) {
			this.permittedName = name;
		}
		else if (outcome instanceof WeightsOutcome.RateLimited limited) {
			postponeRequests(this.policy.retryDelay(name, limited.retryAfterMs()), RetryReason.WEIGHTS_RATE_LIMITED);
		}
		else if (outcome instanceof WeightsOutcome.Absent) {
			this.metrics.countRetry(RetryReason.WEIGHTS_ABSENT);
			return false;
		}
		else {
			postponeRequests(UNREACHABLE_DELAY, RetryReason.WEIGHTS_UNREACHABLE);
		}
		return true;
	}

	private void postponeRequests(Duration delay, RetryReason reason) {
		this.metrics.countRetry(reason);
		this.notBeforeNanos = this.control.nanoTime() + delay.toNanos();
	}

}
