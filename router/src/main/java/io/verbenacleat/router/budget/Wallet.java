package io.verbenacleat.router.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * The tokens of one workspace that this router may spend. Safe for use by several
 * threads.
 * <p>
 * Of the tokens that the router took, it spends only up to a limit that the store knows,
 * so that the rest can be freed when the router is lost. Without contact to the store for
 * some time, the limit falls and all tokens can be spent.
 */
public final class Wallet {

	/** Demand that rises is followed with this time constant, in seconds. */
	private static final double RISING_SMOOTHING_S = 3;

	/**
	 * Demand that falls is followed with this one, in seconds: a workspace with a request
	 * every few seconds would otherwise give its tokens back between two of them.
	 */
	private static final double FALLING_SMOOTHING_S = 12;

	/** Smaller parts of a wish cost more messages than they serve requests. */
	private static final double MIN_LOAN_PART = 0.2;

	/** Unspent tokens of all routers, when the row of the workspace is not known. */
	static final long UNKNOWN = Long.MAX_VALUE;

	/** Sizes of requests vary by a factor of ten; some twenty of them tell the mean. */
	private static final double SIZE_SMOOTHING = 0.05;

	private final String workspace;

	private final Queue<Waiter> waiters = new ArrayDeque<>();

	private long givenTokens;

	private long limitTokens;

	private boolean unlocked;

	private long spentTokens;

	private long reservedTokens;

	private long demandedTokens;

	private double requestTokens;

	private double recentDemandPerS;

	private double longDemandPerS;

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
	 * @return {@code false} when the router may not spend as much now
	 */
	public synchronized boolean tryReserve(long tokens) {
		if (!this.waiters.isEmpty() || spendable() < tokens) {
			return false;
		}
		demanded(tokens);
		this.reservedTokens += tokens;
		return true;
	}

	private void demanded(long tokens) {
		this.demandedTokens += tokens;
		this.requestTokens += ((this.requestTokens > 0) ? SIZE_SMOOTHING : 1) * (tokens - this.requestTokens);
	}

	/**
	 * Returns what a request of this router asks for.
	 * @return the smoothed tokens, 0 before the first request
	 */
	synchronized double requestTokens() {
		return this.requestTokens;
	}

	/**
	 * Waits for tokens.
	 * @param waiter takes the tokens, or learns that there are none
	 */
	public synchronized void await(Waiter waiter) {
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
	 * Returns the tokens that were spent and that running requests may spend.
	 * @return the tokens
	 */
	synchronized long committed() {
		return this.spentTokens + this.reservedTokens;
	}

	synchronized long given() {
		return this.givenTokens;
	}

	// What the router holds and no request has reserved, whether spendable now or not.
	synchronized long held() {
		return this.givenTokens - committed();
	}

	synchronized long waitingTokens() {
		long sum = 0;
		for (Waiter waiter : this.waiters) {
			sum += waiter.tokens();
		}
		return sum;
	}

	synchronized long smallestWaiting() {
		return this.waiters.stream().mapToLong(Waiter::tokens).min().orElse(0);
	}

	synchronized double demandPerS() {
		return Math.max(this.recentDemandPerS, this.longDemandPerS);
	}

	synchronized void updateDemand(double elapsedS) {
		if (elapsedS <= 0) {
			return;
		}
		double demand = this.demandedTokens / elapsedS;
		this.recentDemandPerS += (1 - Math.exp(-elapsedS / RISING_SMOOTHING_S)) * (demand - this.recentDemandPerS);
		this.longDemandPerS += (1 - Math.exp(-elapsedS / FALLING_SMOOTHING_S)) * (demand - this.longDemandPerS);
		this.demandedTokens = 0;
	}

	// Taken out before the write that gives them back, so that they are not spent
	// meanwhile.
	synchronized long withdraw(long tokens) {
		long taken = Math.max(0, Math.min(tokens, held()));
		this.givenTokens -= taken;
		return taken;
	}

	void deposit(long tokens) {
		synchronized (this) {
			this.givenTokens += tokens;
		}
		serve();
	}

	// While the write that states it is under way, the lower of both limits holds.
	synchronized void announceLimit(long limit) {
		this.limitTokens = this.unlocked ? limit : Math.min(this.limitTokens, limit);
		this.unlocked = false;
	}

	void confirmLimit(long limit) {
		synchronized (this) {
			this.limitTokens = limit;
		}
		serve();
	}

	/**
	 * Returns what other routers should be asked for.
	 * @param lowS the demand, in seconds, below which more is needed
	 * @param targetS the demand, in seconds, that should be held
	 * @return a wish for no tokens when the router holds enough
	 */
	synchronized TokenWish wish(double lowS, double targetS) {
		long waiting = waitingTokens();
		long free = Math.max(0, spendable());
		boolean low = waiting > free || free < demandPerS() * lowS;
		long wanted = low ? Math.max(0, waiting + (long) (demandPerS() * targetS) - free) : 0;
		return new TokenWish(waiting, wanted, demandPerS());
	}

	/**
	 * Returns what the waiting requests of this router lack, without loans to others.
	 * @return a wish for no tokens when they lack nothing
	 */
	synchronized TokenWish missing() {
		long waiting = 0;
		for (Waiter waiter : this.waiters) {
			waiting += waiter.isOwnDemand() ? waiter.tokens() : 0;
		}
		long missing = Math.max(0, waiting - Math.max(0, spendable()));
		return new TokenWish(missing, missing, demandPerS());
	}

	/**
	 * Returns the least tokens that a router lends.
	 * @param wish what is asked for
	 * @return the tokens, 1 or more
	 */
	static long smallestLoan(TokenWish wish) {
		return Math.max(1, (long) (wish.wantedTokens() * MIN_LOAN_PART));
	}

	/**
	 * Lends tokens, shared by the demand of both routers.
	 * @param wish what the other router asks for
	 * @return the tokens, which count as spent here
	 */
	synchronized long lend(TokenWish wish) {
		if (!this.waiters.isEmpty()) {
			return 0;
		}
		// A router that has just started has no demand yet.
		double theirs = Math.max(wish.demandPerS(), wish.waitingTokens());
		double part = (theirs > 0) ? theirs / (theirs + Math.max(0, demandPerS())) : 0;
		long lent = Math.max(0, Math.min(wish.wantedTokens(), (long) (spendable() * part)));
		if (lent < smallestLoan(wish)) {
			return 0;
		}
		this.spentTokens += lent;
		return lent;
	}

	// Tokens of another router, which the rows of the store count there: they raise what
	// may be spent here beyond each limit that was or will be stated.
	void receive(long tokens) {
		synchronized (this) {
			this.givenTokens += tokens;
			this.limitTokens += tokens;
		}
		serve();
	}

	synchronized long releaseAll() {
		long released = Math.max(0, spendable());
		this.spentTokens += released;
		return released;
	}

	synchronized void takeBack(long tokens) {
		this.spentTokens -= tokens;
	}

	void unlock() {
		synchronized (this) {
			if (this.unlocked) {
				return;
			}
			this.unlocked = true;
		}
		serve();
	}

	/**
	 * Ends all waiting: requests for which there are enough tokens here are served, also
	 * when a larger one waits before them, and the others are refused.
	 * @param unspentByAll the tokens of the allowance that were not spent, whoever holds
	 * them, or {@link #UNKNOWN}
	 */
	void refuseWaiting(long unspentByAll) {
		List<Waiter> served = new ArrayList<>();
		List<Waiter> refused = new ArrayList<>();
		synchronized (this) {
			for (Waiter waiter : this.waiters) {
				boolean fits = spendable() >= waiter.tokens();
				if (fits) {
					reserve(waiter);
				}
				(fits ? served : refused).add(waiter);
			}
			this.waiters.clear();
		}
		served.forEach(Waiter::granted);
		refused.forEach((waiter) -> waiter.refused(waiter.tokens() > unspentByAll));
	}

	private void serve() {
		List<Waiter> served = new ArrayList<>();
		synchronized (this) {
			Waiter next = this.waiters.peek();
			while (next != null && spendable() >= next.tokens()) {
				this.waiters.remove();
				reserve(next);
				served.add(next);
				next = this.waiters.peek();
			}
		}
		served.forEach(Waiter::granted);
	}

	private void reserve(Waiter waiter) {
		this.reservedTokens += waiter.tokens();
		if (waiter.isOwnDemand()) {
			demanded(waiter.tokens());
		}
	}

	private long spendable() {
		long most = this.unlocked ? this.givenTokens : Math.min(this.givenTokens, this.limitTokens);
		return most - this.spentTokens - this.reservedTokens;
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
		 * Returns whether it counts for the size of grants of this router.
		 * @return {@code false} when the tokens are for another router
		 */
		default boolean isOwnDemand() {
			return true;
		}

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
