package io.verbenacleat.bench.grants;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks the actual state of all budgets during one run, independently of the scheme, and
 * counts overspend and false refusals. A refusal is false if the budget could have
 * covered the request. Not safe for use by several threads.
 */
final class RunStatistics {

	private final long[] toppedUpTokens;

	private final long[] spentTokens;

	private final long[] reservedTokens;

	private final long[] overspentTokens;

	/** The maximum by which spent and reserved tokens exceeded the budget, by account. */
	private final long[] overcommittedTokens;

	final Map<String, Long> falseRefusalsByCause = new TreeMap<>();

	final RefusalCounts connected = new RefusalCounts();

	final RefusalCounts disconnected = new RefusalCounts();

	final RefusalCounts nearlyExhausted = new RefusalCounts();

	double outOfReachSum;

	long outOfReachSamples;

	RunStatistics(Workload workload) {
		this.toppedUpTokens = workload.budgetTokens().stream().mapToLong(Long::longValue).toArray();
		this.spentTokens = new long[this.toppedUpTokens.length];
		this.reservedTokens = new long[this.toppedUpTokens.length];
		this.overspentTokens = new long[this.toppedUpTokens.length];
		this.overcommittedTokens = new long[this.toppedUpTokens.length];
	}

	void recordTopUp(TopUp topUp) {
		this.toppedUpTokens[topUp.account()] += topUp.tokens();
	}

	void recordStart(WorkloadRequest request) {
		int account = request.account();
		this.reservedTokens[account] += request.reservedTokens();
		this.overcommittedTokens[account] = Math.max(this.overcommittedTokens[account],
				this.spentTokens[account] + this.reservedTokens[account] - this.toppedUpTokens[account]);
	}

	void recordFinish(WorkloadRequest request) {
		int account = request.account();
		this.reservedTokens[account] -= request.reservedTokens();
		this.spentTokens[account] += request.usedTokens();
		this.overspentTokens[account] = Math.max(this.overspentTokens[account],
				this.spentTokens[account] - this.toppedUpTokens[account]);
	}

	/**
	 * Returns whether the topped-up tokens minus the spent ones cover a request.
	 * Reservations of running requests are ignored.
	 * @param request the request
	 * @return {@code true} if a refusal of the request is false
	 */
	boolean coversRequest(WorkloadRequest request) {
		return request.reservedTokens() <= unspentTokens(request);
	}

	/**
	 * Returns whether the budget covers a request in addition to the reservations of all
	 * running ones.
	 * @param request the request
	 * @return {@code true} if a refusal could be avoided without the risk of overspend
	 */
	boolean coversRequestAndReservations(WorkloadRequest request) {
		return request.reservedTokens() <= unspentTokens(request) - this.reservedTokens[request.account()];
	}

	void recordDecision(WorkloadRequest request, boolean tableReachable, boolean falselyRefused, boolean avoidable) {
		((tableReachable) ? this.connected : this.disconnected).count(request, falselyRefused, avoidable);
		long unspentTokens = unspentTokens(request);
		if (unspentTokens > 0 && unspentTokens < this.toppedUpTokens[request.account()] / 20) {
			this.nearlyExhausted.count(request, falselyRefused, avoidable);
		}
	}

	long overspentTokens() {
		return Arrays.stream(this.overspentTokens).sum();
	}

	long overcommittedTokens() {
		return Arrays.stream(this.overcommittedTokens).sum();
	}

	private long unspentTokens(WorkloadRequest request) {
		return this.toppedUpTokens[request.account()] - this.spentTokens[request.account()];
	}

	/**
	 * Counts the false refusals among a subset of the requests. Not safe for use by
	 * several threads.
	 */
	static final class RefusalCounts {

		private long requests;

		private long requestedTokens;

		private long falseRefusals;

		private long falseTokens;

		private long avoidableRefusals;

		private void count(WorkloadRequest request, boolean falselyRefused, boolean avoidable) {
			this.requests++;
			this.requestedTokens += request.reservedTokens();
			if (falselyRefused) {
				this.falseRefusals++;
				this.falseTokens += request.reservedTokens();
				this.avoidableRefusals += (avoidable) ? 1 : 0;
			}
		}

		RefusalCounts plus(RefusalCounts other) {
			RefusalCounts sum = new RefusalCounts();
			sum.requests = this.requests + other.requests;
			sum.requestedTokens = this.requestedTokens + other.requestedTokens;
			sum.falseRefusals = this.falseRefusals + other.falseRefusals;
			sum.falseTokens = this.falseTokens + other.falseTokens;
			sum.avoidableRefusals = this.avoidableRefusals + other.avoidableRefusals;
			return sum;
		}

		long requests() {
			return this.requests;
		}

		double falsePercent() {
			return 100.0 * this.falseRefusals / Math.max(1, this.requests);
		}

		double falseTokenPercent() {
			return 100.0 * this.falseTokens / Math.max(1, this.requestedTokens);
		}

		double avoidablePercent() {
			return 100.0 * this.avoidableRefusals / Math.max(1, this.requests);
		}

	}

}
