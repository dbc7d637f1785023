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

	private @Nullable String permit;

	private @Nullable Long notBeforeNanos;

	PermitSource(ControlThread control, PermitPolicy policy, CommandMetrics metrics) {
		this.control = control;
		this.policy = policy;
		this.metrics = metrics;
	}

	boolean has(String name) {
		return name.equals(this.permit);
	}

	/**
	 * Returns how long no permit may be asked for.
	 * @return the time, zero when one may be asked for now
	 */
	Duration delay() {
		Long until = this.notBeforeNanos;
		return (until != null) ? Duration.ofNanos(Math.max(0, until - this.control.nanoTime())) : Duration.ZERO;
	}

	/**
	 * Asks for a permit.
	 * @param name the model or adapter
	 * @return whether the store has the weights, {@code true} while that is not known;
	 * completes on the control thread
	 */
	CompletableFuture<Boolean> request(String name) {
		return this.policy.requestPermit(name)
			.handleAsync((outcome, failure) -> take(name, Optional.ofNullable(outcome)), this.control);
	}

	void use() {
		this.permit = null;
	}

	private boolean take(String name, Optional<WeightsOutcome> answer) {
		WeightsOutcome outcome = answer.orElse(null);
		this.notBeforeNanos = null;
		if (outcome instanceof WeightsOutcome.Found) {
			this.permit = name;
		}
		else if (outcome instanceof WeightsOutcome.RateLimited limited) {
			waitFor(this.policy.retryDelay(name, limited.retryAfterMs()), RetryReason.WEIGHTS_RATE_LIMITED);
		}
		else if (outcome instanceof WeightsOutcome.Absent) {
			this.metrics.retry(RetryReason.WEIGHTS_ABSENT);
			return false;
		}
		else {
			waitFor(UNREACHABLE_DELAY, RetryReason.WEIGHTS_UNREACHABLE);
		}
		return true;
	}

	private void waitFor(Duration delay, RetryReason reason) {
		this.metrics.retry(reason);
		this.notBeforeNanos = this.control.nanoTime() + delay.toNanos();
	}

}
