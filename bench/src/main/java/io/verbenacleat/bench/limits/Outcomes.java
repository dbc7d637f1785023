package io.verbenacleat.bench.limits;

import java.util.ArrayList;
import java.util.List;

import org.HdrHistogram.Histogram;

/**
 * Collects the outcomes of the requests of a run. Requests are counted if they arrive
 * after the warm-up, and tokens if the request ends after it. Not safe for use by several
 * threads.
 */
final class Outcomes {

	static final int MAX_ATTEMPTS = 3;

	private static final long WINDOW_MS = 100;

	final Histogram startDelayMs = new Histogram(3);

	final List<Long> burstRetriesAtMs = new ArrayList<>();

	private final long warmUpMs;

	long finishedTokens;

	long wastedTokens;

	long requests;

	long finished;

	long smallRequests;

	long smallLost;

	long smallLostBelowServerShare;

	long smallLostBelowFleetShare;

	long refusals;

	long lateRefusals;

	long longestRefusalMs;

	long timeouts;

	Outcomes(long warmUpMs) {
		this.warmUpMs = warmUpMs;
	}

	void recordArrival(SimRequest request) {
		if (request.inBurst() && request.attempt() > 1) {
			this.burstRetriesAtMs.add(request.arrivedAtMs());
		}
		if (isMeasured(request) && request.attempt() == 1) {
			this.requests++;
			this.smallRequests += (request.isLarge()) ? 0 : 1;
		}
	}

	void recordStart(SimRequest request, long nowMs) {
		if (isMeasured(request)) {
			this.startDelayMs.recordValue(nowMs - request.arrivedAtMs());
		}
	}

	void recordFinish(SimRequest request, long nowMs) {
		if (nowMs >= this.warmUpMs) {
			this.finishedTokens += request.answerTokens();
		}
		if (isMeasured(request)) {
			this.finished++;
		}
	}

	void recordRefusal(SimRequest request, long nowMs) {
		if (isMeasured(request)) {
			long waitedMs = nowMs - request.arrivedAtMs();
			this.refusals++;
			this.lateRefusals += (waitedMs > 0) ? 1 : 0;
			this.longestRefusalMs = Math.max(this.longestRefusalMs, waitedMs);
			recordLoss(request);
		}
	}

	void recordTimeout(SimRequest request, long generatedTokens, long nowMs) {
		if (nowMs >= this.warmUpMs) {
			this.wastedTokens += generatedTokens;
		}
		if (isMeasured(request)) {
			this.timeouts++;
			recordLoss(request);
		}
	}

	/**
	 * Returns the largest share of the retries of the burst that arrived within 100 ms.
	 * @return the share in percent, 0 if there were no retries
	 */
	double peakRetryPercent() {
		long most = 0;
		for (long start : this.burstRetriesAtMs) {
			most = Math.max(most,
					this.burstRetriesAtMs.stream().filter((at) -> at >= start && at < start + WINDOW_MS).count());
		}
		return (this.burstRetriesAtMs.isEmpty()) ? 0 : 100.0 * most / this.burstRetriesAtMs.size();
	}

	// The first refusal or timeout of a request of a small workspace counts as a loss,
	// even if a retry succeeds.
	private void recordLoss(SimRequest request) {
		if (!request.isLarge() && request.attempt() == 1) {
			this.smallLost++;
			this.smallLostBelowServerShare += (request.belowShare() == SimRequest.BelowShare.SERVER) ? 1 : 0;
			this.smallLostBelowFleetShare += (request.belowShare() == SimRequest.BelowShare.FLEET) ? 1 : 0;
		}
	}

	private boolean isMeasured(SimRequest request) {
		return request.arrivedAtMs() >= this.warmUpMs;
	}

}
