package io.verbenacleat.entry.http;

import java.time.Clock;
import java.util.concurrent.atomic.AtomicInteger;

import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.entry.EntryStateKeys;
import io.verbenacleat.entry.request.Refusal;
import io.verbenacleat.entry.request.RefusalCode;

/**
 * Admits requests while this entry accepts them, and limits the number in progress. Safe
 * for use by several threads.
 */
final class Admission {

	private static final long NOT_READY_RETRY_MS = 2_000;

	private final Blackboard blackboard;

	private final Clock clock;

	private final AtomicInteger inProgress = new AtomicInteger();

	Admission(Blackboard blackboard, Clock clock) {
		this.blackboard = blackboard;
		this.clock = clock;
	}

	/**
	 * Admits a request, which counts as in progress until {@link #release} is called.
	 * @return the configuration in force
	 * @throws RequestRejectedException if the entry is not ready, its configuration is
	 * too old or too many requests are in progress
	 */
	OfficeConfig admit() throws RequestRejectedException {
		OfficeConfig config = this.blackboard.read(EntryStateKeys.CONFIG);
		if (config == null || !Boolean.TRUE.equals(this.blackboard.read(EntryStateKeys.ACCEPTING))) {
			throw new RequestRejectedException(
					Refusal.notRun(RefusalCode.NOT_READY, "This entry takes no requests now; use another one")
						.withRetryAfterMs(NOT_READY_RETRY_MS));
		}
		checkConfigAge(config);
		if (this.inProgress.incrementAndGet() > config.limits().maxInProgress()) {
			this.inProgress.decrementAndGet();
			throw new RequestRejectedException(
					Refusal.notRun(RefusalCode.OVERLOADED, "This entry works on as many requests as it may")
						.withRetryAfterMs(config.limits().retryAfterMs()));
		}
		return config;
	}

	/**
	 * Ends an admitted request.
	 */
	void release() {
		this.inProgress.decrementAndGet();
	}

	/**
	 * Returns the number of requests in progress.
	 * @return the number of requests, zero or more
	 */
	int inProgress() {
		return this.inProgress.get();
	}

	private void checkConfigAge(OfficeConfig config) throws RequestRejectedException {
		long maxAgeMs = config.limits().maxConfigAgeMs();
		Long seenAtMs = this.blackboard.read(EntryStateKeys.PLATFORM_LAST_CONTACT_MS);
		if (maxAgeMs > 0 && seenAtMs != null && this.clock.millis() - seenAtMs > maxAgeMs) {
			throw new RequestRejectedException(
					Refusal.notRun(RefusalCode.CONFIG_STALE, "The platform was out of reach for too long")
						.withRetryAfterMs(config.limits().retryAfterMs()));
		}
	}

}
