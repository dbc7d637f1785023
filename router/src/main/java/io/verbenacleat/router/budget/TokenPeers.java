package io.verbenacleat.router.budget;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/**
 * The other routers as lenders and receivers of tokens. Methods are called on the control
 * thread.
 */
public interface TokenPeers {

	/**
	 * Borrows tokens from other routers.
	 * @param requests what to borrow, by workspace
	 * @param holders the addresses for callers of the routers to ask, in order of
	 * preference; if empty, routers are selected at random
	 * @param receiver receives the tokens of each response, even after the returned
	 * future has completed; called on the control thread
	 * @return completes when all responses have arrived or the timeout has passed
	 */
	CompletableFuture<Void> borrow(Map<String, LoanRequest> requests, List<String> holders,
			Consumer<Map<String, Long>> receiver);

	/**
	 * Borrows tokens from one router.
	 * @param lender the router to ask
	 * @param requests what to borrow, by workspace
	 * @param receiver receives the tokens, even after the returned future has completed;
	 * called on the control thread
	 * @return completes when the router has responded; fails if it does not do so soon
	 */
	CompletableFuture<Void> borrowFrom(FleetRouter lender, Map<String, LoanRequest> requests,
			Consumer<Map<String, Long>> receiver);

	/**
	 * Transfers tokens to another router.
	 * @param tokens the tokens by workspace
	 * @return completes with {@code false} if certainly no other router received them
	 */
	CompletableFuture<Boolean> transfer(Map<String, Long> tokens);

	/**
	 * Tells other routers that tokens were granted, before they are spent.
	 * @param rows the shared rows that the store has confirmed, by workspace
	 * @return completes with {@code true} when one of them remembers the rows, with
	 * {@code false} if none does so soon
	 */
	CompletableFuture<Boolean> announce(Map<String, GrantRow> rows);

	/**
	 * Returns the peers of a router without other routers.
	 * @return peers that neither lend nor accept tokens
	 */
	static TokenPeers none() {
		return new TokenPeers() {
			@Override
			public CompletableFuture<Void> borrow(Map<String, LoanRequest> requests, List<String> holders,
					Consumer<Map<String, Long>> receiver) {
				return CompletableFuture.completedFuture(null);
			}

			@Override
			public CompletableFuture<Void> borrowFrom(FleetRouter lender, Map<String, LoanRequest> requests,
					Consumer<Map<String, Long>> receiver) {
				return CompletableFuture.failedFuture(new TimeoutException("There are no other routers"));
			}

			@Override
			public CompletableFuture<Boolean> transfer(Map<String, Long> tokens) {
				return CompletableFuture.completedFuture(false);
			}

			@Override
			public CompletableFuture<Boolean> announce(Map<String, GrantRow> rows) {
				return CompletableFuture.completedFuture(false);
			}
		};
	}

}
