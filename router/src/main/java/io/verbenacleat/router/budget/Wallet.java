package io.verbenacleat.router.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * The tokens of one workspace that this router may spend. Safe for use by several
 * threads.
 * <p>
 * The router spends its granted tokens only up to the limit that it has written to the
 * store, so that the rest can be released when the router is lost. The limit is lifted
 * when the store could not be written for {@link PrepaidLedger#LIMIT_TIMEOUT}.
 */
public final class Wallet {

	/** Time constant of the demand average while demand rises, in seconds. */
	private static final double RISING_TIME_CONSTANT_S = 3;

	/**
	 * Time constant of the demand average while demand falls, in seconds. It is longer so
	 * that a workspace with one request every few seconds does not return its tokens
	 * between two requests.
	 */
	private static final double FALLING_TIME_CONSTANT_S = 12;

	/**
	 * Requests of mean size that a router borrows for beyond those that wait, since the
	 * next one would wait as well.
	 */
	private static final int MIN_REFILL_REQUESTS = 2;

	/**
	 * Time without demand that the averages assume before the first request, in seconds.
	 * Without it, a single request would look like a high demand.
	 */
	private static final double UNOBSERVED_S = 2;

	/**
	 * Smallest loan, as a fraction of the wanted tokens. Smaller loans cost more messages
	 * than the requests they serve are worth.
	 */
	private static final double MIN_LOAN_FRACTION = 0.2;

	/** Stands for the unspent tokens of all routers while the shared row is unknown. */
	static final long UNKNOWN_UNSPENT_TOKENS = Long.MAX_VALUE;

	/**
	 * Weight of a new request in the mean request size. Request sizes vary by a factor of
	 * ten, so about twenty of them are needed for a stable mean.
	 */
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

	/** Time for which the demand averages have been updated, in seconds. */
	private double observedS;

	Wallet(String workspace) {
		this.workspace = workspace;
	}

	/**
	 * Returns the name of the workspace.
	 * @return the name, never {@code null}
	 */
	public String workspace() {
		return this.workspace;
	}

	/**
	 * Reserves tokens if they can be spent now and no request is waiting.
	 * @param tokens the maximum that the request may use, zero or more
	 * @return {@code true} if the tokens were reserved
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
		this.meanRequestTokens += ((this.meanRequestTokens > 0) ? SIZE_SMOOTHING_FACTOR : 1)
				* (tokens - this.meanRequestTokens);
	}

	/**
	 * Returns the moving average of the tokens that a request reserves.
	 * @return the tokens, 0 before the first request
	 */
	synchronized double meanRequestTokens() {
		return this.meanRequestTokens;
	}

	/**
	 * Adds a waiter to the queue for tokens.
	 * @param waiter the waiter, notified when it is granted or refused the tokens
	 */
	public synchronized void await(Waiter waiter) {
		this.waiters.add(waiter);
	}

	/**
	 * Removes a waiter from the queue.
	 * @param waiter the waiter
	 * @return {@code false} if it was already granted or refused the tokens
	 */
	public synchronized boolean cancel(Waiter waiter) {
		return this.waiters.remove(waiter);
	}

	/**
	 * Ends a reservation and records what was used of it.
	 * @param reserved the tokens that were reserved
	 * @param used the tokens that were used; more than the reserved ones are not counted
	 */
	public synchronized void settle(long reserved, long used) {
		this.reservedTokens -= reserved;
		this.spentTokens += Math.min(used, reserved);
	}

	/**
	 * Returns the tokens that were spent or are reserved for running requests.
	 * @return the tokens
	 */
	synchronized long committedTokens() {
		return this.spentTokens + this.reservedTokens;
	}

	/**
	 * Returns the tokens that this router was granted or received, less those it
	 * returned.
	 * @return the tokens, spent ones included
	 */
	synchronized long grantedTokens() {
		return this.grantedTokens;
	}

	/**
	 * Returns the granted tokens that are neither spent nor reserved.
	 * @return the tokens, those above the limit included
	 */
	synchronized long heldTokens() {
		return this.grantedTokens - committedTokens();
	}

	/**
	 * Returns whether there are no tokens, requests that hold some, or waiters.
	 * @return {@code true} if only spent tokens are left
	 */
	synchronized boolean isUnused() {
		return heldTokens() <= 0 && this.reservedTokens == 0 && this.waiters.isEmpty();
	}

	/**
	 * Returns the tokens that all waiters need.
	 * @return the tokens, 0 without waiters
	 */
	synchronized long waitingTokens() {
		long sum = 0;
		for (Waiter waiter : this.waiters) {
			sum += waiter.tokens();
		}
		return sum;
	}

	/**
	 * Returns the tokens that the smallest waiter needs.
	 * @return the tokens, 0 without waiters
	 */
	synchronized long smallestWaitingTokens() {
		return this.waiters.stream().mapToLong(Waiter::tokens).min().orElse(0);
	}

	/**
	 * Returns the smoothed demand of this router.
	 * @return the tokens per second
	 */
	synchronized double demandPerS() {
		return Math.max(unbiased(this.shortTermDemandPerS, RISING_TIME_CONSTANT_S),
				unbiased(this.longTermDemandPerS, FALLING_TIME_CONSTANT_S));
	}

	// A moving average that starts at 0 is too low until several time constants have
	// passed.
	private double unbiased(double average, double timeConstantS) {
		return average / (1 - Math.exp(-(this.observedS + UNOBSERVED_S) / timeConstantS));
	}

	/**
	 * Updates the demand averages with the requests since the last call.
	 * @param elapsedS the seconds since the last call; ignored unless positive
	 */
	synchronized void updateDemand(double elapsedS) {
		if (elapsedS <= 0) {
			return;
		}
		double demand = this.demandedTokens / elapsedS;
		this.observedS = (demand > 0 || this.observedS > 0) ? this.observedS + elapsedS : 0;
		this.shortTermDemandPerS += (1 - Math.exp(-elapsedS / RISING_TIME_CONSTANT_S))
				* (demand - this.shortTermDemandPerS);
		this.longTermDemandPerS += (1 - Math.exp(-elapsedS / FALLING_TIME_CONSTANT_S))
				* (demand - this.longTermDemandPerS);
		this.demandedTokens = 0;
	}

	/**
	 * Removes tokens before the write that returns them to the store, so that they are
	 * not spent while the write is in flight.
	 * @param tokens the tokens to return
	 * @return the tokens that were removed, at most the held ones
	 */
	synchronized long withdraw(long tokens) {
		long withdrawn = Math.max(0, Math.min(tokens, heldTokens()));
		this.grantedTokens -= withdrawn;
		return withdrawn;
	}

	/**
	 * Adds granted tokens and serves waiters.
	 * @param tokens the tokens, zero or more
	 */
	void deposit(long tokens) {
		synchronized (this) {
			this.grantedTokens += tokens;
		}
		serveWaiting();
	}

	/**
	 * Applies a new limit before the write that contains it is sent. Until the write is
	 * confirmed, the lower of the old and the new limit applies, unless the old one was
	 * lifted.
	 * @param tokens the new limit in tokens
	 */
	synchronized void announceLimit(long tokens) {
		this.limitTokens = this.limitLifted ? tokens : Math.min(this.limitTokens, tokens);
		this.limitLifted = false;
	}

	/**
	 * Applies a limit that the store has confirmed and serves waiters.
	 * @param tokens the limit in tokens
	 */
	void confirmLimit(long tokens) {
		synchronized (this) {
			this.limitTokens = tokens;
		}
		serveWaiting();
	}

	/**
	 * Returns what to borrow from other routers.
	 * @param lowS the spendable tokens below which the router borrows, in seconds of
	 * demand
	 * @param targetS the spendable tokens that it borrows up to, in seconds of demand
	 * @return a request for 0 tokens if the router has enough
	 */
	synchronized LoanRequest loanRequest(double lowS, double targetS) {
		long waiting = waitingTokens();
		long spendable = Math.max(0, spendableTokens());
		boolean low = waiting > spendable || spendable < demandPerS() * lowS;
		long wanted = low ? Math.max(0, waiting + (long) (demandPerS() * targetS) - spendable) : 0;
		return new LoanRequest(waiting, wanted, demandPerS());
	}

	/**
	 * Returns what to borrow from the primary router. Unlike {@link #loanRequest}, tokens
	 * above the limit count as held, since the next write makes them spendable.
	 * @param lowS the held tokens below which the router borrows, in seconds of demand
	 * @param targetS the held tokens that it borrows up to, in seconds of demand
	 * @param maxLowTokens an upper bound of the held tokens below which it borrows
	 * @return a request for 0 tokens if the router has enough
	 */
	synchronized LoanRequest refillRequest(double lowS, double targetS, long maxLowTokens) {
		long waiting = waitingTokens();
		long held = Math.max(0, heldTokens());
		double target = demandPerS() * targetS;
		boolean low = waiting > held
				|| (held < Math.min(maxLowTokens, demandPerS() * lowS) && target >= this.meanRequestTokens);
		double ahead = (waiting > held) ? Math.max(target, this.meanRequestTokens * MIN_REFILL_REQUESTS) : target;
		long wanted = low ? Math.max(0, waiting + (long) ahead - held) : 0;
		return new LoanRequest(Math.max(0, waiting - held), wanted, demandPerS(), held);
	}

	/**
	 * Returns what to borrow for the requests that wait at this router, or at a router
	 * that borrows from it; the part of a loan that no request waits for is not counted.
	 * @return a request for 0 tokens if they are covered
	 */
	synchronized LoanRequest shortfallRequest() {
		long waiting = 0;
		for (Waiter waiter : this.waiters) {
			waiting += waiter.awaitedTokens();
		}
		long missing = Math.max(0, waiting - Math.max(0, spendableTokens()));
		return new LoanRequest(missing, missing, demandPerS());
	}

	/**
	 * Returns the smallest loan for a request.
	 * @param request what the borrower asks for
	 * @return the tokens, 1 or more
	 */
	static long minLoanTokens(LoanRequest request) {
		return Math.max(1, (long) (request.wantedTokens() * MIN_LOAN_FRACTION));
	}

	/**
	 * Lends spendable tokens in proportion to the demand of borrower and lender. Nothing
	 * is lent while requests wait here.
	 * @param request what the borrower asks for
	 * @return the tokens, which count as spent here; 0 if the loan would be too small
	 */
	synchronized long lend(LoanRequest request) {
		if (!this.waiters.isEmpty()) {
			return 0;
		}
		// A borrower that has just started has no measured demand yet.
		double borrowerDemand = Math.max(request.demandPerS(), request.waitingTokens());
		double borrowerShare = (borrowerDemand > 0) ? borrowerDemand / (borrowerDemand + Math.max(0, demandPerS())) : 0;
		long lent = Math.max(0, Math.min(request.wantedTokens(), (long) (spendableTokens() * borrowerShare)));
		if (lent < minLoanTokens(request)) {
			return 0;
		}
		this.spentTokens += lent;
		return lent;
	}

	/**
	 * Adds tokens of another router and serves waiters. The rows in the store still count
	 * them at that router, so they can be spent here on top of any limit.
	 * @param tokens the tokens
	 */
	void receive(long tokens) {
		synchronized (this) {
			this.grantedTokens += tokens;
			this.limitTokens += tokens;
		}
		serveWaiting();
	}

	/**
	 * Removes all spendable tokens, in order to transfer them to another router.
	 * @return the tokens, which count as spent here
	 */
	synchronized long releaseAll() {
		long released = Math.max(0, spendableTokens());
		this.spentTokens += released;
		return released;
	}

	/**
	 * Restores released tokens that no router has accepted.
	 * @param tokens the tokens
	 */
	synchronized void reclaim(long tokens) {
		this.spentTokens -= tokens;
	}

	/**
	 * Lets all granted tokens be spent until the next limit is announced.
	 */
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
	 * Empties the queue: grants tokens to every waiter that they suffice for, even behind
	 * a larger one, and refuses the others.
	 * @param unspentByAllTokens the tokens of the allowance that no router has spent, or
	 * {@link #UNKNOWN_UNSPENT_TOKENS}
	 */
	void refuseWaiting(long unspentByAllTokens) {
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
		refused.forEach((waiter) -> waiter.refused(waiter.tokens() > unspentByAllTokens));
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
	 * Returns the tokens at this router, for logs.
	 * @return the balance
	 */
	public synchronized Balance balance() {
		return new Balance(heldTokens(), spendableTokens(), (long) demandPerS());
	}

	/**
	 * The tokens of a workspace at this router. Immutable.
	 *
	 * @param heldTokens the tokens that are neither spent nor reserved
	 * @param spendableTokens those that may be spent before the next write of the limit
	 * @param demandPerS the demand in tokens per second
	 */
	public record Balance(long heldTokens, long spendableTokens, long demandPerS) {
	}

	/**
	 * A request that waits for tokens. Its methods may be called on any thread.
	 */
	public interface Waiter {

		/**
		 * Returns the tokens that the request needs.
		 * @return the tokens, zero or more
		 */
		long tokens();

		/**
		 * Returns whether the request counts as demand of this router, which determines
		 * its grants.
		 * @return {@code false} if the tokens are lent to another router
		 */
		default boolean isOwnDemand() {
			return true;
		}

		/**
		 * Returns the tokens for which a request waits, at this or another router.
		 * @return the tokens, at most {@link #tokens}
		 */
		default long awaitedTokens() {
			return isOwnDemand() ? tokens() : 0;
		}

		/**
		 * Called when the tokens have been reserved for the request.
		 */
		void granted();

		/**
		 * Called when no tokens are available for the request.
		 * @param allowanceUsedUp {@code true} if the request exceeds the unspent tokens
		 * of all routers, {@code false} if a retry may succeed
		 */
		void refused(boolean allowanceUsedUp);

	}

}
