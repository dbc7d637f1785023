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
 * Passes tokens between routers while the store cannot be reached, and when the shared
 * row has too few for a request. Used on the control thread.
 * <p>
 * Tokens that a router passes on count as spent there for good, and the other router adds
 * them to what it may spend. The rows of the store stay true without a write: those of
 * the giver cover the tokens. Tokens of an answer that is lost are spent by nobody.
 */
public final class TokenExchange {

	/** A router asks when it holds less than this much of its demand. */
	private static final double LOW_WATERMARK_S = 1.5;

	/** A router asks for this much of its demand; the next question follows in time. */
	private static final double TARGET_S = 4;

	/** Peers that had nothing are asked again after this time. */
	private static final Duration RETRY_DELAY = Duration.ofMillis(400);

	/** A request is not worth more questions, which all routers would pay for. */
	private static final int MAX_HOLDERS_PER_REQUEST = 12;

	/** Holders that are asked at a time; most of what they hold is in use. */
	private static final int HOLDERS_PER_ROUND = 6;

	private final Map<String, Wallet> wallets;

	private final Pool pool;

	private final TokenPeers peers;

	private final ControlThread control;

	private final DecisionLog log;

	private final Map<String, Long> pausedUntilNanos = new HashMap<>();

	/** The workspaces for which tokens came in since the last question. */
	private final Set<String> receivedWorkspaces = new HashSet<>();

	/** The workspaces for which holders of tokens are being asked. */
	private final Set<String> borrowingWorkspaces = new HashSet<>();

	/** The holders that were asked for the requests that wait now, by workspace. */
	private final Map<String, Set<String>> askedHolders = new HashMap<>();

	private boolean borrowRoundInProgress;

	private boolean transferInProgress;

	TokenExchange(Map<String, Wallet> wallets, Pool pool, TokenPeers peers, ControlThread control, DecisionLog log) {
		this.wallets = wallets;
		this.pool = pool;
		this.peers = peers;
		this.control = control;
		this.log = log;
	}

	/**
	 * Serves waiting requests with tokens of other routers, and refuses those for which
	 * there are none.
	 */
	void borrowForWaiting() {
		if (this.borrowRoundInProgress) {
			return;
		}
		Map<String, LoanRequest> requests = new HashMap<>();
		long nowNanos = this.control.nanoTime();
		this.wallets.forEach((workspace, wallet) -> {
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
	 * Asks the routers that hold the tokens which the shared row lacks.
	 * @param workspace the workspace
	 * @param holders the addresses for callers of the routers, largest holders first
	 * @return {@code false} when there is nobody to ask, or they had nothing lately
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
		List<String> next = holders.stream().filter((holder) -> !asked.contains(holder)).limit(HOLDERS_PER_ROUND).toList();
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

	// Requests wait for another round only while tokens come in.
	private void onBorrowRoundEnd(Set<String> asked) {
		long untilNanos = this.control.nanoTime() + RETRY_DELAY.toNanos();
		boolean stillWaiting = false;
		for (String workspace : asked) {
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
	 * Lends tokens to another router: what this one can spare, and where that does not
	 * cover the waiting requests, what it can take for them out of the shared row.
	 * @param requests what the other router asks for, by workspace
	 * @return what it may spend from now on, by workspace
	 */
	public CompletableFuture<Map<String, Long>> lend(Map<String, LoanRequest> requests) {
		Map<String, Long> lent = new HashMap<>();
		List<CompletableFuture<?>> pendingLoans = new ArrayList<>();
		requests.forEach((workspace, request) -> {
			Wallet wallet = this.wallets.get(workspace);
			long lentHere = (wallet != null) ? wallet.lend(request) : 0;
			lent.put(workspace, lentHere);
			long fromPool = this.pool.availableForLoan(workspace, request, lentHere);
			if (fromPool > 0) {
				Wallet own = this.wallets.computeIfAbsent(workspace, Wallet::new);
				PoolLoan loan = new PoolLoan(own, fromPool);
				own.await(loan);
				pendingLoans.add(loan.granted.thenAccept((tokens) -> lent.merge(workspace, tokens, Long::sum)));
			}
		});
		if (!pendingLoans.isEmpty()) {
			this.pool.withdrawForWaiting();
		}
		return CompletableFuture.allOf(pendingLoans.toArray(new CompletableFuture<?>[0])).thenApply((done) -> {
			lent.values().removeIf((tokens) -> tokens <= 0);
			if (!lent.isEmpty()) {
				this.log.event("grant.lent").with("workspaces", lent.size()).with("tokens", sum(lent)).emit();
			}
			return Map.copyOf(lent);
		});
	}

	/**
	 * Takes tokens that another router passed on.
	 * @param tokens the tokens by workspace
	 */
	public void receive(Map<String, Long> tokens) {
		tokens.forEach((workspace, count) -> {
			this.receivedWorkspaces.add(workspace);
			this.wallets.computeIfAbsent(workspace, Wallet::new).receive(count);
		});
		if (!tokens.isEmpty()) {
			this.log.event("grant.received").with("workspaces", tokens.size()).with("tokens", sum(tokens)).emit();
		}
	}

	/**
	 * Returns whether tokens are on their way to another router.
	 * @return {@code true} until it is known whether they arrived
	 */
	boolean isTransferring() {
		return this.transferInProgress;
	}

	/**
	 * Passes all tokens that may be spent to another router.
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
				tokens.forEach(
						(workspace, count) -> this.wallets.computeIfAbsent(workspace, Wallet::new).reclaim(count));
			}
			this.log.event("grant.given").with("workspaces", tokens.size()).with("kept", kept).emit();
		}, this.control);
	}

	private static long sum(Map<String, Long> tokens) {
		return tokens.values().stream().mapToLong(Long::longValue).sum();
	}

	/**
	 * The tokens that no router holds.
	 */
	interface Pool {

		/**
		 * Returns what may be taken for another router.
		 * @param workspace the workspace
		 * @param request what the other router asks for
		 * @param alreadyLentTokens what it gets without the pool
		 * @return the tokens, 0 when the store cannot be reached, the pool does not cover
		 * the waiting requests or nothing is missing
		 */
		long availableForLoan(String workspace, LoanRequest request, long alreadyLentTokens);

		/**
		 * Has tokens taken for all that wait in the wallets.
		 */
		void withdrawForWaiting();

	}

	/**
	 * Waits in a wallet for tokens of the pool, which count as spent once they are there.
	 */
	private static final class PoolLoan implements Wallet.Waiter {

		private final Wallet wallet;

		private final long tokens;

		private final CompletableFuture<Long> granted = new CompletableFuture<>();

		private PoolLoan(Wallet wallet, long tokens) {
			this.wallet = wallet;
			this.tokens = tokens;
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
