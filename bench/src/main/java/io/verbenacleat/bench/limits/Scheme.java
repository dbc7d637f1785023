package io.verbenacleat.bench.limits;

import java.util.List;

import io.verbenacleat.agent.queue.QueueLimits;
import io.verbenacleat.agent.queue.SchedulingAttributes;
import io.verbenacleat.core.config.LimitsConfig;

/**
 * The queue in front of a server: that of the product with its default limits, or a
 * baseline.
 */
enum Scheme {

	/** All orders start immediately. */
	NO_QUEUE(QueueLimits.withoutQueue(1_000_000)),

	/** An unbounded queue in order of arrival. */
	UNBOUNDED_FIFO(new QueueLimits(Scheme.MAX_RUNNING, 1_000_000, Scheme.NEVER_MS, List.of())),

	/** At most 256 orders run, and there is no queue. */
	FIXED_LIMIT(QueueLimits.withoutQueue(Scheme.FIXED_RUNNING)),

	/** The queue of the product. */
	QUEUE(QueueLimits.of(Scheme.MAX_RUNNING, Scheme.FIXED_RUNNING, LimitsConfig.DEFAULT));

	private static final int MAX_RUNNING = 64;

	private static final int FIXED_RUNNING = 256;

	private static final long NEVER_MS = 1_000_000_000;

	private static final long FIXED_RETRY_AFTER_MS = 1_000;

	private final QueueLimits limits;

	Scheme(QueueLimits limits) {
		this.limits = limits;
	}

	QueueLimits limits() {
		return this.limits;
	}

	SchedulingAttributes schedulingAttributes(SimRequest request) {
		if (this == QUEUE) {
			return new SchedulingAttributes("ws-" + request.workspace(), request.priority(), request.timeoutAtMs());
		}
		return new SchedulingAttributes("", 0, NEVER_MS);
	}

	/**
	 * Returns the Retry-After of a refusal.
	 * @param queueRetryAfterMs the Retry-After of the queue of the product, in
	 * milliseconds
	 * @return the Retry-After, in milliseconds
	 */
	long retryAfterMs(long queueRetryAfterMs) {
		return (this == QUEUE) ? queueRetryAfterMs : FIXED_RETRY_AFTER_MS;
	}

}
