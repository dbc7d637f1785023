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
	private static final double RISING_TIME_CONSTANT_S = 3;

	/**
	 * Demand that falls is followed with this one, in seconds: a workspace with a request
	 * every few seconds would otherwise give its tokens back between two of them.
	 */
	private static final double FALLING_TIME_CONSTANT_S = 12;

	/** Smaller parts of a wish cost more messages than they serve requests. */
	private static final double MIN_LOAN_FRACTION = 0.2;

	/** Unspent tokens of all routers, when the row of the workspace is not known. */
	static final long UNKNOWN_UNSPENT_TOKENS = Long.MAX_VALUE;

	/** Sizes of requests vary by a factor of ten; some twenty of them tell the mean. */
	private static final double SIZE_SMOOTHING_FACTOR = 0.05;

	private final String workspace;

	private final Queue<Waiter> waiters = new ArrayDeque<>();

	private long grantedTokens;

	private long limitTokens;

	private boolean limitLifted;

	private long spentTokens;

	private long reservedTokens;

	private long demandedTokens;

	private double meanRequestTokens;

	private double shortTermDemandPerS;

	private double longTermDemandPerS;

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
		if (!this.waiters.isEmpty() || spendableTokens() < tokens) {
			return false;
		}
		recordDemand(tokens);
		this.reservedTokens += tokens;
		return true;
	}

	private void recordDemand(long tokens) {
		this.demandedTokens += tokens;
		this.meanRequestTokens += ((this.meanRequestTokens > 0) ? SIZE_SMOOTHING_FACTOR : 1) * (tokens - this.meanRequestTokens);
	}

	/**
	 * Returns what a request of this router asks for.
	 * @return the smoothed tokens, 0 before the first request
	 */
	synchronized double meanRequestTokens() {
		return this.meanRequestTokens;
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
	synchronized long committedTokens() {
		return this.spentTokens + this.reservedTokens;
	}

	synchronized long grantedTokens() {
		return this.grantedTokens;
	}

	// What the router holds and no request has reserved, whether spendable now or not.
	synchronized long heldTokens() {
		return this.grantedTokens - committedTokens();
	}

	synchronized long waitingTokens() {
		long sum = 0;
		for (Waiter waiter : this.waiters) {
			sum += waiter.tokens();
		}
		return sum;
	}

	synchronized long smallestWaitingTokens() {
		return this.waiters.stream().mapToLong(Waiter::tokens).min().orElse(0);
	}

	synchronized double demandPerS() {
		return Math.max(this.shortTermDemandPerS, this.longTermDemandPerS);
	}

	synchronized void updateDemand(double elapsedS) {
		if (elapsedS <= 0) {
			return;
		}
		double demand = this.demandedTokens / elapsedS;
		this.shortTermDemandPerS += (1 - Math.exp(-elapsedS / RISING_TIME_CONSTANT_S)) * (demand - this.shortTermDemandPerS);
		this.longTermDemandPerS += (1 - Math.exp(-elapsedS / FALLING_TIME_CONSTANT_S)) * (demand - this.longTermDemandPerS);
		this.demandedTokens = 0;
	}

	// Taken out before the write that gives them back, so that they are not spent
	// meanwhile.
	synchronized long withdraw(long tokens) {
		long withdrawn = Math.max(0, Math.min(tokens, heldTokens()));
		this.grantedTokens -= withdrawn;
		return withdrawn;
	}

	void deposit(long tokens) {
		synchronized (this) {
			this.grantedTokens += tokens;
		}
		serveWaiting();
	}

	// While the write that states it is under way, the lower of both limits holds.
	synchronized void announceLimit(long limit) {
		this.limitTokens = this.limitLifted ? limit : Math.min(this.limitTokens, limit);
		this.limitLifted = false;
	}

	void confirmLimit(long limit) {
		synchronized (this) {
			this.limitTokens = limit;
		}
		serveWaiting();
	}

	/**
	 * Returns what other routers should be asked for.
	 * @param lowS the demand, in seconds, below which more is needed
	 * @param targetS the demand, in seconds, that should be held
	 * @return a wish for no tokens when the router holds enough
	 */
	synchronized LoanRequest loanRequest(double lowS, double targetS) {
		long waiting = waitingTokens();
		long spendable = Math.max(0, spendableTokens());
		boolean low = waiting > spendable || spendable < demandPerS() * lowS;
		long wanted = low ? Math.max(0, waiting + (long) (demandPerS() * targetS) - spendable) : 0;
		return new LoanRequest(waiting, wanted, demandPerS());
	}

	/**
	 * Returns what the waiting requests of this router lack, without loans to others.
	 * @return a wish for no tokens when they lack nothing
	 */
	synchronized LoanRequest shortfallRequest() {
		long waiting = 0;
		for (Waiter waiter : this.waiters) {
			waiting += waiter.isOwnDemand() ? waiter.tokens() : 0;
		}
		long missing = Math.max(0, waiting - Math.max(0, spendableTokens()));
		return new LoanRequest(missing, missing, demandPerS());
	}

	/**
	 * Returns the least tokens that a router lends.
	 * @param request what is asked for
	 * @return the tokens, 1 or more
	 */
	static long minLoanTokens(LoanRequest request) {
		return Math.max(1, (long) (request.wantedTokens() * MIN_LOAN_FRACTION));
	}

	/**
	 * Lends tokens, shared by the demand of both routers.
	 * @param request what the other router asks for
	 * @return the tokens, which count as spent here
	 */
	synchronized long lend(LoanRequest request) {
		if (!this.waiters.isEmpty()) {
			return 0;
		}
		// A router that has just started has no demand yet.
		double borrowerDemand = Math.max(request.demandPerS(), request.waitingTokens());
		double borrowerShare = (borrowerDemand > 0) ? borrowerDemand / (borrowerDemand + Math.max(0, demandPerS())) : 0;
		long lent = Math.max(0, Math.min(request.wantedTokens(), (long) (spendableTokens() * borrowerShare)));
		if (lent < minLoanTokens(request)) {
			return 0;
		}
		this.spentTokens += lent;
		return lent;
	}

	// Tokens of another router, which the rows of the store count there: they raise what
	// may be spent here beyond each limit that was or will be stated.
	void receive(long tokens) {
		synchronized (this) {
			this.grantedTokens += tokens;
			this.limitTokens += tokens;
		}
		serveWaiting();
	}

	synchronized long releaseAll() {
		long released = Math.max(0, spendableTokens());
		this.spentTokens += released;
		return released;
	}

	synchronized void reclaim(long tokens) {
		this.spentTokens -= tokens;
	}

	void liftLimit() {
		synchronized (this) {
			if (this.limitLifted) {
				return;
			}
			this.limitLifted = true;
		}
		serveWaiting();
	}

	/**
	 * Ends all waiting: requests for which there are enough tokens here are served, also
	 * when a larger one waits before them, and the others are refused.
	 * @param unspentByAll the tokens of the allowance that were not spent, whoever holds
	 * them, or {@link #UNKNOWN_UNSPENT_TOKENS}
	 */
	void refuseWaiting(long unspentByAll) {
		List<Waiter> served = new ArrayList<>();
		List<Waiter> refused = new ArrayList<>();
		synchronized (this) {
			for (Waiter waiter : this.waiters) {
				boolean fits = spendableTokens() >= waiter.tokens();
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

	private void serveWaiting() {
		List<Waiter> served = new ArrayList<>();
		synchronized (this) {
			Waiter next = this.waiters.peek();
			while (next != null && spendableTokens() >= next.tokens()) {
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
			recordDemand(waiter.tokens());
		}
	}

	private long spendableTokens() {
		long maxTokens = this.limitLifted ? this.grantedTokens : Math.min(this.grantedTokens, this.limitTokens);
		return maxTokens - this.spentTokens - this.reservedTokens;
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
