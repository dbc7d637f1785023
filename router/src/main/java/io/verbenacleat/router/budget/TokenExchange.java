package io.verbenacleat.router.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.router.log.DecisionLog;

/**
 * Lends, borrows and transfers tokens between routers, while the store is unreachable or
 * the pool in the shared row does not cover a request. Confined to the control thread.
 * <p>
 * Tokens that are lent or transferred count as spent at the lender for good and are added
 * to what the borrower may spend. The rows in the store stay valid without a write, since
 * they account for the tokens at the lender. If a response is lost, neither router can
 * spend its tokens.
 */
public final class TokenExchange {

	/** A router borrows when it can spend less than this, in seconds of its demand. */
	private static final double LOW_WATERMARK_S = 1.5;

	/**
	 * A router borrows up to this, in seconds of its demand. It is enough until the next
	 * round.
	 */
	private static final double TARGET_S = 4;

	/**
	 * A router refills from the primary router when it holds less than this, in seconds
	 * of demand.
	 */
	private static final double REFILL_BELOW_S = 10.5;

	/**
	 * Tokens that a router borrows up to from the primary router, in seconds of demand. A
	 * partition lasts up to 9 s, and the demand of a workspace at one router varies by
	 * half.
	 */
	private static final double REFILL_TARGET_S = 15;

	/**
	 * After a loan that was smaller than asked for, the next one is asked for when less
	 * than this fraction of the tokens is left. Asking earlier would bring as little
	 * again.
	 */
	private static final double SCARCE_REFILL_FRACTION = 0.5;

	/** Delay before routers that lent nothing are asked again. */
	private static final Duration RETRY_DELAY = Duration.ofMillis(400);

	/**
	 * Holders that are asked for the waiting requests of a workspace, in all rounds. More
	 * calls would load all routers for little gain.
	 */
	private static final int MAX_HOLDERS_PER_REQUEST = 12;

	/** Holders that are asked at the same time; most of their tokens are in use. */
	private static final int HOLDERS_PER_ROUND = 6;

	private final Map<String, Wallet> wallets;

	private final Pool pool;

	private final TokenPeers peers;

	private final ControlThread control;

	private final DecisionLog log;

	private final Map<String, Long> pausedUntilNanos = new HashMap<>();

	/** Workspaces for which tokens were received since the last round. */
	private final Set<String> receivedWorkspaces = new HashSet<>();

	/** Workspaces for which holders are being asked. */
	private final Set<String> borrowingWorkspaces = new HashSet<>();

	/** Holders that were asked for the currently waiting requests, by workspace. */
	private final Map<String, Set<String>> askedHolders = new HashMap<>();

	private final PrimaryRouters primaries;

	private final TokenMetrics metrics;

	/** Workspaces for which the primary router is being asked. */
	private final Set<String> refillingWorkspaces = new HashSet<>();

	/**
	 * Held tokens below which the primary router is asked again after it lent less than
	 * asked for, by workspace.
	 */
	private final Map<String, Long> refillBelowTokens = new HashMap<>();

	/** When the primary router may be asked again after it lent nothing, by workspace. */
	private final Map<String, Long> refillsPausedUntilNanos = new HashMap<>();

	private boolean borrowRoundInProgress;

	private boolean transferInProgress;

	TokenExchange(Map<String, Wallet> wallets, Pool pool, TokenPeers peers, PrimaryRouters primaries,
			TokenMetrics metrics, ControlThread control, DecisionLog log) {
		this.metrics = metrics;
		this.primaries = primaries;
		this.wallets = wallets;
		this.pool = pool;
		this.peers = peers;
		this.control = control;
		this.log = log;
	}

	/**
	 * Returns whether this router gets tokens of a workspace from its primary router now.
	 * @param workspace the workspace
	 * @return {@code false} if it takes them from the shared row itself
	 */
	boolean hasLender(String workspace) {
		long nowNanos = this.control.nanoTime();
		return this.refillingWorkspaces.contains(workspace)
				|| (nowNanos >= this.refillsPausedUntilNanos.getOrDefault(workspace, Long.MIN_VALUE)
						&& this.primaries.lender(workspace, nowNanos).isPresent());
	}

	/**
	 * Borrows tokens of all workspaces that run low from their primary routers.
	 */
	void refill() {
		Map<FleetRouter, Map<String, LoanRequest>> requests = new HashMap<>();
		long nowNanos = this.control.nanoTime();
		this.wallets.forEach((workspace, wallet) -> {
			if (this.refillingWorkspaces.contains(workspace) || !hasLender(workspace)) {
				return;
			}
			LoanRequest request = wallet.refillRequest(REFILL_BELOW_S, REFILL_TARGET_S,
					this.refillBelowTokens.getOrDefault(workspace, Long.MAX_VALUE));
			if (request.wantedTokens() > 0) {
				this.primaries.lender(workspace, nowNanos)
					.ifPresent((lender) -> requests.computeIfAbsent(lender, (any) -> new HashMap<>())
						.put(workspace, request));
			}
		});
		requests.forEach(this::refillFrom);
	}

	private void refillFrom(FleetRouter lender, Map<String, LoanRequest> requests) {
		this.refillingWorkspaces.addAll(requests.keySet());
		Set<String> lentWorkspaces = new HashSet<>();
		this.peers.borrowFrom(lender, requests, (tokens) -> {
			lentWorkspaces.addAll(tokens.keySet());
			receive(tokens);
			requests
				.forEach((workspace, request) -> onRefilled(workspace, request, tokens.getOrDefault(workspace, 0L)));
		}).whenCompleteAsync((done, failure) -> {
			long nowNanos = this.control.nanoTime();
			this.refillingWorkspaces.removeAll(requests.keySet());
			if (failure != null) {
				this.metrics.refillFailed();
				this.primaries.onFailure(lender, nowNanos);
			}
			else {
				this.primaries.onSuccess(lender);
				requests.keySet()
					.stream()
					.filter((workspace) -> !lentWorkspaces.contains(workspace))
					.forEach((workspace) -> this.refillsPausedUntilNanos.put(workspace,
							nowNanos + RETRY_DELAY.toNanos()));
			}
			this.pool.withdrawForWaiting();
		}, this.control);
	}

	private void onRefilled(String workspace, LoanRequest request, long lentTokens) {
		this.metrics.refilled(request.wantedTokens(), lentTokens);
		if (lentTokens < request.wantedTokens()) {
			long heldAfter = request.heldTokens() + lentTokens - request.waitingTokens();
			this.refillBelowTokens.put(workspace, (long) (heldAfter * SCARCE_REFILL_FRACTION));
		}
		else {
			this.refillBelowTokens.remove(workspace);
		}
	}

	/**
	 * Borrows tokens for all workspaces that run low, from routers selected at random.
	 * Waiting requests are refused while a workspace is paused because no router had
	 * tokens.
	 */
	void borrowForWaiting() {
		if (this.borrowRoundInProgress) {
			return;
		}
		Map<String, LoanRequest> requests = new HashMap<>();
		long nowNanos = this.control.nanoTime();
		this.wallets.forEach((workspace, wallet) -> {
			if (this.refillingWorkspaces.contains(workspace)) {
				return;
			}
			boolean paused = nowNanos < this.pausedUntilNanos.getOrDefault(workspace, Long.MIN_VALUE);
			LoanRequest request = wallet.loanRequest(LOW_WATERMARK_S, TARGET_S);
			if (request.wantedTokens() > 0 && !paused) {
				requests.put(workspace, request);
			}
			else if (paused) {
				wallet.refuseWaiting(Wallet.UNKNOWN_UNSPENT_TOKENS);
			}
		});
		if (requests.isEmpty()) {
			return;
		}
		this.borrowRoundInProgress = true;
		this.peers.borrow(requests, List.of(), this::receive).whenCompleteAsync((done, failure) -> {
			this.borrowRoundInProgress = false;
			onBorrowRoundEnd(requests.keySet());
		}, this.control);
	}

	/**
	 * Borrows tokens for waiting requests that the pool does not cover, from the routers
	 * that hold them.
	 * @param workspace the workspace
	 * @param holders the addresses for callers of the routers, largest holders first
	 * @return {@code false} if no further router can be asked now
	 */
	boolean borrowFrom(String workspace, List<String> holders) {
		if (this.borrowingWorkspaces.contains(workspace)) {
			return true;
		}
		Wallet wallet = this.wallets.get(workspace);
		if (wallet == null) {
			return false;
		}
		boolean paused = this.control.nanoTime() < this.pausedUntilNanos.getOrDefault(workspace, Long.MIN_VALUE);
		LoanRequest request = wallet.shortfallRequest();
		if (paused || request.wantedTokens() <= 0) {
			return false;
		}
		Set<String> asked = this.askedHolders.computeIfAbsent(workspace, (any) -> new HashSet<>());
		List<String> next = holders.stream()
			.filter((holder) -> !asked.contains(holder))
			.limit(HOLDERS_PER_ROUND)
			.toList();
		if (next.isEmpty() || asked.size() >= MAX_HOLDERS_PER_REQUEST) {
			this.askedHolders.remove(workspace);
			this.pausedUntilNanos.put(workspace, this.control.nanoTime() + RETRY_DELAY.toNanos());
			return false;
		}
		asked.addAll(next);
		this.borrowingWorkspaces.add(workspace);
		this.peers.borrow(Map.of(workspace, request), next, this::receive).whenCompleteAsync((done, failure) -> {
			this.borrowingWorkspaces.remove(workspace);
			this.receivedWorkspaces.remove(workspace);
			if (wallet.waitingTokens() > 0) {
				this.pool.withdrawForWaiting();
			}
			else {
				this.askedHolders.remove(workspace);
			}
		}, this.control);
		return true;
	}

	// Requests wait for another round only if tokens were received in this one.
	private void onBorrowRoundEnd(Set<String> workspaces) {
		long untilNanos = this.control.nanoTime() + RETRY_DELAY.toNanos();
		boolean stillWaiting = false;
		for (String workspace : workspaces) {
			Wallet wallet = this.wallets.get(workspace);
			if (wallet == null) {
				continue;
			}
			if (!this.receivedWorkspaces.remove(workspace)) {
				this.pausedUntilNanos.put(workspace, untilNanos);
				wallet.refuseWaiting(Wallet.UNKNOWN_UNSPENT_TOKENS);
			}
			stillWaiting |= wallet.waitingTokens() > 0;
		}
		if (stillWaiting) {
			this.pool.withdrawForWaiting();
		}
	}

	/**
	 * Lends tokens to another router: spendable tokens of this router first, then tokens
	 * that it takes from the pool if those do not cover the waiting requests.
	 * @param requests what the borrower asks for, by workspace
	 * @param borrower the peer address of the borrower
	 * @return the tokens that the borrower may spend, by workspace; workspaces without a
	 * loan are left out
	 */
	public CompletableFuture<Map<String, Long>> lend(Map<String, LoanRequest> requests, String borrower) {
		String borrowerAddress = this.primaries.address(borrower).orElse("");
		Map<String, Long> lent = new HashMap<>();
		List<CompletableFuture<?>> pendingLoans = new ArrayList<>();
		requests.forEach((workspace, asked) -> {
			boolean primary = !borrowerAddress.isEmpty() && this.primaries.isPrimary(workspace);
			LoanRequest request = primary ? this.pool.limitToShare(workspace, borrowerAddress, asked) : asked;
			Wallet wallet = this.wallets.get(workspace);
			long lentHere = (wallet != null) ? wallet.lend(request) : 0;
			lent.put(workspace, lentHere);
			long fromPool = this.pool.availableForLoan(workspace, request, lentHere);
			if (fromPool > 0) {
				Wallet own = this.wallets.computeIfAbsent(workspace, Wallet::new);
				PoolLoan loan = new PoolLoan(own, fromPool,
						primary ? Math.min(fromPool, Math.max(0, request.waitingTokens() - lentHere)) : 0);
				own.await(loan);
				pendingLoans.add(loan.granted.thenAccept((tokens) -> lent.merge(workspace, tokens, Long::sum)));
			}
		});
		if (!pendingLoans.isEmpty()) {
			this.pool.withdrawForWaiting();
		}
		return CompletableFuture.allOf(pendingLoans.toArray(new CompletableFuture<?>[0])).thenApply((done) -> {
			lent.values().removeIf((tokens) -> tokens <= 0);
			lent.forEach((workspace, tokens) -> {
				LoanRequest asked = requests.get(workspace);
				if (asked != null && !borrowerAddress.isEmpty() && this.primaries.isPrimary(workspace)) {
					this.pool.onLent(workspace, borrowerAddress, asked, tokens);
				}
			});
			if (!lent.isEmpty()) {
				this.metrics.lent(sum(lent));
				this.log.event("grant.lent").with("workspaces", lent.size()).with("tokens", sum(lent)).emit();
			}
			return Map.copyOf(lent);
		});
	}

	/**
	 * Adds tokens that another router has lent or transferred.
	 * @param tokens the tokens by workspace
	 */
	public void receive(Map<String, Long> tokens) {
		tokens.forEach((workspace, count) -> {
			this.receivedWorkspaces.add(workspace);
			this.wallets.computeIfAbsent(workspace, Wallet::new).receive(count);
		});
		if (!tokens.isEmpty()) {
			this.metrics.borrowed(sum(tokens));
			this.log.event("grant.received").with("workspaces", tokens.size()).with("tokens", sum(tokens)).emit();
		}
	}

	/**
	 * Returns whether a transfer to another router is in flight.
	 * @return {@code true} until its outcome is known
	 */
	boolean isTransferring() {
		return this.transferInProgress;
	}

	/**
	 * Transfers all spendable tokens to another router. Tokens that no router has
	 * accepted return to the wallets.
	 */
	void transferAll() {
		if (this.transferInProgress) {
			return;
		}
		Map<String, Long> tokens = new HashMap<>();
		this.wallets.forEach((workspace, wallet) -> {
			long released = wallet.releaseAll();
			if (released > 0) {
				tokens.put(workspace, released);
			}
		});
		if (tokens.isEmpty()) {
			return;
		}
		this.transferInProgress = true;
		this.peers.transfer(tokens).whenCompleteAsync((accepted, failure) -> {
			this.transferInProgress = false;
			boolean kept = failure == null && !accepted;
			if (kept) {
				tokens
					.forEach((workspace, count) -> this.wallets.computeIfAbsent(workspace, Wallet::new).reclaim(count));
			}
			this.log.event("grant.given").with("workspaces", tokens.size()).with("kept", kept).emit();
		}, this.control);
	}

	private static long sum(Map<String, Long> tokens) {
		return tokens.values().stream().mapToLong(Long::longValue).sum();
	}

	/**
	 * The tokens of allowances that are not granted to any router.
	 */
	interface Pool {

		/**
		 * Returns the tokens to take from the pool for a borrower.
		 * @param workspace the workspace
		 * @param request what the borrower asks for
		 * @param alreadyLentTokens what it gets out of the wallet of this router
		 * @return the tokens, 0 if the store is unreachable, the pool does not cover the
		 * waiting requests or nothing is missing
		 */
		long availableForLoan(String workspace, LoanRequest request, long alreadyLentTokens);

		/**
		 * Limits a loan of the primary router to the share of the borrower.
		 * @param workspace the workspace
		 * @param borrower the address for callers of the borrower
		 * @param request what it asks for
		 * @return the limited request
		 */
		LoanRequest limitToShare(String workspace, String borrower, LoanRequest request);

		/**
		 * Records a loan of the primary router.
		 * @param workspace the workspace
		 * @param borrower the address for callers of the borrower
		 * @param request what it asked for
		 * @param tokens the tokens that it got
		 */
		void onLent(String workspace, String borrower, LoanRequest request, long tokens);

		/**
		 * Starts a round that takes tokens from the pool for all waiting requests.
		 */
		void withdrawForWaiting();

	}

	/**
	 * Waits in a wallet for a loan from the pool; once granted, the tokens count as
	 * spent.
	 */
	private static final class PoolLoan implements Wallet.Waiter {

		private final Wallet wallet;

		private final long tokens;

		private final long awaitedTokens;

		private final CompletableFuture<Long> granted = new CompletableFuture<>();

		private PoolLoan(Wallet wallet, long tokens, long awaitedTokens) {
			this.wallet = wallet;
			this.tokens = tokens;
			this.awaitedTokens = awaitedTokens;
		}

		@Override
		public long tokens() {
			return this.tokens;
		}

		@Override
		public boolean isOwnDemand() {
			return false;
		}

		@Override
		public long awaitedTokens() {
			return this.awaitedTokens;
		}

		@Override
		public void granted() {
			this.wallet.settle(this.tokens, this.tokens);
			this.granted.complete(this.tokens);
		}

		@Override
		public void refused(boolean allowanceUsedUp) {
			this.granted.complete(0L);
		}

	}

}
