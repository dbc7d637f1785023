package io.verbenacleat.router.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * The tokens of one workspace that this router may spend. Safe for use by several
 * threads.
 */
public final class Wallet {

	/** The time constant of the smoothed demand, in seconds. */
	private static final double DEMAND_SMOOTHING_S = 3;

	private final String workspace;

	private final Queue<Waiter> waiters = new ArrayDeque<>();

	private long givenTokens;

	private long spentTokens;

	private long reservedTokens;

	private long demandedTokens;

	private double demandPerS;

	private boolean exhausted;

	Wallet(String workspace) {
		this.workspace = workspace;
	}

	/**
	 * Returns the name of the workspace.
	 * @return the name
	 */
	public String workspace() {
		return this.workspace;
	}

	/**
	 * Reserves tokens if they are there.
	 * @param tokens the most that the request may use, zero or more
	 * @return {@code false} when the router does not hold enough
	 */
	public synchronized boolean tryReserve(long tokens) {
		if (!this.waiters.isEmpty() || available() < tokens) {
			return false;
		}
		this.demandedTokens += tokens;
		this.reservedTokens += tokens;
		return true;
	}

	/**
	 * Waits for tokens.
	 * @param waiter takes the tokens, or learns that there are none
	 */
	public synchronized void await(Waiter waiter) {
		this.demandedTokens += waiter.tokens();
		this.waiters.add(waiter);
	}

	/**
	 * Stops waiting.
	 * @param waiter the waiter
	 * @return {@code false} when it was served already
	 */
	public synchronized boolean cancel(Waiter waiter) {
		return this.waiters.remove(waiter);
	}

	/**
	 * Ends a reservation.
	 * @param reserved the tokens that were reserved
	 * @param used the tokens that were used, at most the reserved ones
	 */
	public synchronized void settle(long reserved, long used) {
		this.reservedTokens -= reserved;
		this.spentTokens += Math.min(used, reserved);
	}

	/**
	 * Returns whether the allowance does not cover more requests.
	 * @return {@code true} when all tokens of the allowance are used up
	 */
	public synchronized boolean isExhausted() {
		return this.exhausted;
	}

	synchronized long available() {
		return this.givenTokens - this.spentTokens - this.reservedTokens;
	}

	synchronized long given() {
		return this.givenTokens;
	}

	synchronized long spent() {
		return this.spentTokens;
	}

	synchronized long waitingTokens() {
		long sum = 0;
		for (Waiter waiter : this.waiters) {
			sum += waiter.tokens();
		}
		return sum;
	}

	synchronized double demandPerS() {
		return this.demandPerS;
	}

	synchronized void updateDemand(double elapsedS) {
		if (elapsedS <= 0) {
			return;
		}
		double weight = 1 - Math.exp(-elapsedS / DEMAND_SMOOTHING_S);
		this.demandPerS += weight * (this.demandedTokens / elapsedS - this.demandPerS);
		this.demandedTokens = 0;
	}

	// Taken out before the write that gives them back, so that they are not spent
	// meanwhile.
	synchronized long withdraw(long tokens) {
		long taken = Math.max(0, Math.min(tokens, available()));
		this.givenTokens -= taken;
		return taken;
	}

	void deposit(long tokens) {
		List<Waiter> served = new ArrayList<>();
		synchronized (this) {
			this.givenTokens += tokens;
			Waiter next = this.waiters.peek();
			while (next != null && available() >= next.tokens()) {
				this.waiters.remove();
				this.reservedTokens += next.tokens();
				served.add(next);
				next = this.waiters.peek();
			}
		}
		served.forEach(Waiter::granted);
	}

	void refuseWaiting(boolean allowanceUsedUp) {
		List<Waiter> refused;
		synchronized (this) {
			this.exhausted = allowanceUsedUp;
			refused = new ArrayList<>(this.waiters);
			this.waiters.clear();
		}
		refused.forEach((waiter) -> waiter.refused(allowanceUsedUp));
	}

	synchronized void setExhausted(boolean exhausted) {
		this.exhausted = exhausted;
	}

	/**
	 * A request that waits for tokens. Its methods may be called on any thread.
	 */
	public interface Waiter {

		/**
		 * Returns the tokens that it needs.
		 * @return the tokens
		 */
		long tokens();

		/**
		 * The tokens are reserved for it.
		 */
		void granted();

		/**
		 * There are no tokens for it now.
		 * @param allowanceUsedUp whether the allowance does not cover it at all
		 */
		void refused(boolean allowanceUsedUp);

	}

}
