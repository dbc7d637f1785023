package io.verbenacleat.bench.limits;

import java.util.ArrayList;
import java.util.List;

import org.HdrHistogram.Histogram;

/**
 * What became of the requests of a run. Only requests that came after the warm-up count.
 * Not safe for use by several threads.
 */
final class Outcomes {

	static final int MAX_ATTEMPTS = 3;

	private static final long WINDOW_MS = 100;

	final Histogram startDelayMs = new Histogram(3);

	final List<Long> burstReturnedAtMs = new ArrayList<>();

	private final long warmUpMs;

	long goodTokens;

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

	void arrived(SimRequest request) {
		if (request.ofBurst() && request.attempt() > 1) {
			this.burstReturnedAtMs.add(request.arrivedAtMs());
		}
		if (counts(request) && request.attempt() == 1) {
			this.requests++;
			this.smallRequests += (request.large()) ? 0 : 1;
		}
	}

	void started(SimRequest request, long nowMs) {
		if (counts(request)) {
			this.startDelayMs.recordValue(nowMs - request.arrivedAtMs());
		}
	}

	void finished(SimRequest request, long nowMs) {
		if (nowMs >= this.warmUpMs) {
			this.goodTokens += request.answerTokens();
		}
		if (counts(request)) {
			this.finished++;
		}
	}

	void refused(SimRequest request, long nowMs) {
		if (counts(request)) {
			long waitedMs = nowMs - request.arrivedAtMs();
			this.refusals++;
			this.lateRefusals += (waitedMs > 0) ? 1 : 0;
			this.longestRefusalMs = Math.max(this.longestRefusalMs, waitedMs);
			lost(request);
		}
	}

	void timedOut(SimRequest request, long madeTokens, long nowMs) {
		if (nowMs >= this.warmUpMs) {
			this.wastedTokens += madeTokens;
		}
		if (counts(request)) {
			this.timeouts++;
			lost(request);
		}
	}

	/**
	 * Returns the largest share of the returns of the burst within 100 ms.
	 * @return the share in percent, 0 without returns
	 */
	double peakReturnPercent() {
		long most = 0;
		for (long start : this.burstReturnedAtMs) {
			most = Math.max(most,
					this.burstReturnedAtMs.stream().filter((at) -> at >= start && at < start + WINDOW_MS).count());
		}
		return (this.burstReturnedAtMs.isEmpty()) ? 0 : 100.0 * most / this.burstReturnedAtMs.size();
	}

	// A small workspace loses a request with the first refusal, even if a return
	// succeeds.
	private void lost(SimRequest request) {
		if (!request.large() && request.attempt() == 1) {
			this.smallLost++;
			this.smallLostBelowServerShare += (request.below() == SimRequest.Below.SERVER) ? 1 : 0;
			this.smallLostBelowFleetShare += (request.below() == SimRequest.Below.FLEET) ? 1 : 0;
		}
	}

	private boolean counts(SimRequest request) {
		return request.arrivedAtMs() >= this.warmUpMs;
	}

}
