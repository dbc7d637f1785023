package io.verbenacleat.bench.limits;

import java.util.List;

import io.verbenacleat.agent.queue.QueueLimits;
import io.verbenacleat.agent.queue.SchedulingAttributes;
import io.verbenacleat.core.config.LimitsConfig;

/**
 * What stands in front of a server: the queue of the product with its default bounds, or
 * a baseline.
 */
enum Scheme {

	/** All orders run at once. */
	NO_QUEUE(QueueLimits.withoutQueue(1_000_000)),

	/** The queue has no bound and no order but that of arrival. */
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
	 * Returns when a refused caller is told to come back.
	 * @param queueRetryAfterMs the time that the queue of the product gives
	 * @return the time in milliseconds
	 */
	long retryAfterMs(long queueRetryAfterMs) {
		return (this == QUEUE) ? queueRetryAfterMs : FIXED_RETRY_AFTER_MS;
	}

}
