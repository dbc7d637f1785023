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
	private static final double LOW_S = 1.5;

	/** A router asks for this much of its demand; the next question follows in time. */
	private static final double TARGET_S = 4;

	/** Peers that had nothing are asked again after this time. */
	private static final Duration PAUSE = Duration.ofMillis(400);

	/** A request is not worth more questions, which all routers would pay for. */
	private static final int MAX_ASKED_HOLDERS = 12;

	/** Holders that are asked at a time; most of what they hold is in use. */
	private static final int ASKED_HOLDERS = 6;

	private final Map<String, Wallet> wallets;

	private final Pool pool;

	private final TokenPeers peers;

	private final ControlThread control;

	private final DecisionLog log;

	private final Map<String, Long> notBeforeNanos = new HashMap<>();

	/** The workspaces for which tokens came in since the last question. */
	private final Set<String> received = new HashSet<>();

	/** The workspaces for which holders of tokens are being asked. */
	private final Set<String> borrowing = new HashSet<>();

	/** The holders that were asked for the requests that wait now, by workspace. */
	private final Map<String, Set<String>> askedHolders = new HashMap<>();

	private boolean asking;

	private boolean giving;

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
	void serveWaiting() {
		if (this.asking) {
			return;
		}
		Map<String, TokenWish> wishes = new HashMap<>();
		long nowNanos = this.control.nanoTime();
		this.wallets.forEach((workspace, wallet) -> {
			boolean paused = nowNanos < this.notBeforeNanos.getOrDefault(workspace, Long.MIN_VALUE);
			TokenWish wish = wallet.wish(LOW_S, TARGET_S);
			if (wish.wantedTokens() > 0 && !paused) {
				wishes.put(workspace, wish);
			}
			else if (paused) {
				wallet.refuseWaiting(Wallet.UNKNOWN);
			}
		});
		if (wishes.isEmpty()) {
			return;
		}
		this.asking = true;
		this.peers.borrow(wishes, List.of(), this::receive).whenCompleteAsync((done, failure) -> {
			this.asking = false;
			onAnswers(wishes.keySet());
		}, this.control);
	}

	/**
	 * Asks the routers that hold the tokens which the shared row lacks.
	 * @param workspace the workspace
	 * @param holders the addresses for callers of the routers, largest holders first
	 * @return {@code false} when there is nobody to ask, or they had nothing lately
	 */
	boolean borrow(String workspace, List<String> holders) {
		if (this.borrowing.contains(workspace)) {
			return true;
		}
		Wallet wallet = this.wallets.get(workspace);
		if (wallet == null) {
			return false;
		}
		boolean paused = this.control.nanoTime() < this.notBeforeNanos.getOrDefault(workspace, Long.MIN_VALUE);
		TokenWish missing = wallet.missing();
		if (paused || missing.wantedTokens() <= 0) {
			return false;
		}
		Set<String> asked = this.askedHolders.computeIfAbsent(workspace, (any) -> new HashSet<>());
		List<String> next = holders.stream().filter((holder) -> !asked.contains(holder)).limit(ASKED_HOLDERS).toList();
		if (next.isEmpty() || asked.size() >= MAX_ASKED_HOLDERS) {
			this.askedHolders.remove(workspace);
			this.notBeforeNanos.put(workspace, this.control.nanoTime() + PAUSE.toNanos());
			return false;
		}
		asked.addAll(next);
		this.borrowing.add(workspace);
		this.peers.borrow(Map.of(workspace, missing), next, this::receive).whenCompleteAsync((done, failure) -> {
			this.borrowing.remove(workspace);
			this.received.remove(workspace);
			if (wallet.waitingTokens() > 0) {
				this.pool.take();
			}
			else {
				this.askedHolders.remove(workspace);
			}
		}, this.control);
		return true;
	}

	// Requests wait for another round only while tokens come in.
	private void onAnswers(Set<String> asked) {
		long untilNanos = this.control.nanoTime() + PAUSE.toNanos();
		boolean again = false;
		for (String workspace : asked) {
			Wallet wallet = this.wallets.get(workspace);
			if (wallet == null) {
				continue;
			}
			if (!this.received.remove(workspace)) {
				this.notBeforeNanos.put(workspace, untilNanos);
				wallet.refuseWaiting(Wallet.UNKNOWN);
			}
			again |= wallet.waitingTokens() > 0;
		}
		if (again) {
			this.pool.take();
		}
	}

	/**
	 * Lends tokens to another router: what this one can spare, and where that does not
	 * cover the waiting requests, what it can take for them out of the shared row.
	 * @param wishes what the other router asks for, by workspace
	 * @return what it may spend from now on, by workspace
	 */
	public CompletableFuture<Map<String, Long>> lend(Map<String, TokenWish> wishes) {
		Map<String, Long> lent = new HashMap<>();
		List<CompletableFuture<?>> taking = new ArrayList<>();
		wishes.forEach((workspace, wish) -> {
			Wallet wallet = this.wallets.get(workspace);
			long spared = (wallet != null) ? wallet.lend(wish) : 0;
			lent.put(workspace, spared);
			long missing = this.pool.takeable(workspace, wish, spared);
			if (missing > 0) {
				Wallet own = this.wallets.computeIfAbsent(workspace, Wallet::new);
				Loan loan = new Loan(own, missing);
				own.await(loan);
				taking.add(loan.taken.thenAccept((tokens) -> lent.merge(workspace, tokens, Long::sum)));
			}
		});
		if (!taking.isEmpty()) {
			this.pool.take();
		}
		return CompletableFuture.allOf(taking.toArray(new CompletableFuture<?>[0])).thenApply((done) -> {
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
			this.received.add(workspace);
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
	boolean isGiving() {
		return this.giving;
	}

	/**
	 * Passes all tokens that may be spent to another router.
	 */
	void giveAll() {
		if (this.giving) {
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
		this.giving = true;
		this.peers.give(tokens).whenCompleteAsync((taken, failure) -> {
			this.giving = false;
			boolean kept = failure == null && !taken;
			if (kept) {
				tokens.forEach(
						(workspace, count) -> this.wallets.computeIfAbsent(workspace, Wallet::new).takeBack(count));
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
		 * @param wish what the other router asks for
		 * @param spared what it gets without the pool
		 * @return the tokens, 0 when the store cannot be reached, the pool does not cover
		 * the waiting requests or nothing is missing
		 */
		long takeable(String workspace, TokenWish wish, long spared);

		/**
		 * Has tokens taken for all that wait in the wallets.
		 */
		void take();

	}

	/**
	 * Waits in a wallet for tokens of the pool, which count as spent once they are there.
	 */
	private static final class Loan implements Wallet.Waiter {

		private final Wallet wallet;

		private final long tokens;

		private final CompletableFuture<Long> taken = new CompletableFuture<>();

		private Loan(Wallet wallet, long tokens) {
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
			this.taken.complete(this.tokens);
		}

		@Override
		public void refused(boolean allowanceUsedUp) {
			this.taken.complete(0L);
		}

	}

}
