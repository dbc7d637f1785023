package io.verbenacleat.agent.command;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.platform.WeightsOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Gets the permit of the weight store for one load at a time. A permit lasts until a
 * command that uses it may have been sent. Control thread only.
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
	 * Returns how long no permit may be asked for.
	 * @return the time, zero when one may be asked for now
	 */
	Duration remainingDelay() {
		Long notBefore = this.notBeforeNanos;
		return (notBefore != null) ? Duration.ofNanos(Math.max(0, notBefore - this.control.nanoTime())) : Duration.ZERO;
	}

	/**
	 * Asks for a permit.
	 * @param name the model or adapter
	 * @return whether the store has the weights, {@code true} while that is not known;
	 * completes on the control thread
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
