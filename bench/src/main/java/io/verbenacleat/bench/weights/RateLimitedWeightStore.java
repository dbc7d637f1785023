package io.verbenacleat.bench.weights;

import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.platform.WeightStore;
import io.verbenacleat.core.platform.WeightsMetadata;
import io.verbenacleat.core.platform.WeightsOutcome;

/**
 * A weight store with a rate limit over fixed windows of one minute, like that of the
 * platform stand-in. Not safe for use by several threads.
 */
final class RateLimitedWeightStore implements WeightStore {

	private static final long WINDOW_MS = 60_000;

	private final ManualControlThread control;

	private final int perMinute;

	private long windowStartMs = Long.MIN_VALUE / 2;

	private int fetchesInWindow;

	private long refused;

	private long second;

	private long fetchesInSecond;

	private long peakPerSecond;

	RateLimitedWeightStore(ManualControlThread control, int perMinute) {
		this.control = control;
		this.perMinute = perMinute;
	}

	long refused() {
		return this.refused;
	}

	long peakPerSecond() {
		return this.peakPerSecond;
	}

	@Override
	public CompletableFuture<WeightsOutcome> fetch(String model) {
		return RoundTrip.delayed(this.control, () -> respond(model));
	}

	private WeightsOutcome respond(String model) {
		long nowMs = this.control.clock().millis();
		count(nowMs / 1_000);
		if (nowMs - this.windowStartMs >= WINDOW_MS) {
			this.windowStartMs = nowMs;
			this.fetchesInWindow = 0;
		}
		if (this.fetchesInWindow < this.perMinute) {
			this.fetchesInWindow++;
			return new WeightsOutcome.Found(new WeightsMetadata(model, "1", 1, ""));
		}
		this.refused++;
		long seconds = Math.max(1, (this.windowStartMs + WINDOW_MS - nowMs + 999) / 1_000);
		return new WeightsOutcome.RateLimited(seconds * 1_000);
	}

	private void count(long nowSecond) {
		this.fetchesInSecond = (nowSecond == this.second) ? this.fetchesInSecond + 1 : 1;
		this.second = nowSecond;
		this.peakPerSecond = Math.max(this.peakPerSecond, this.fetchesInSecond);
	}

}
