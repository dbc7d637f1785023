package io.verbenacleat.router.budget;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * The other routers, as far as they pass tokens on. Methods are called on the control
 * thread.
 */
public interface TokenPeers {

	/**
	 * Asks other routers for tokens.
	 * @param requests what is asked for, by workspace
	 * @param holders the addresses for callers of routers that are asked, most promising
	 * first; any routers are asked when it is empty
	 * @param receiver takes the tokens of each answer, also of one that comes after the
	 * returned future has completed; called on the control thread
	 * @return completes when the answers are there or take too long
	 */
	CompletableFuture<Void> borrow(Map<String, LoanRequest> requests, List<String> holders,
			Consumer<Map<String, Long>> receiver);

	/**
	 * Gives tokens to another router.
	 * @param tokens the tokens by workspace
	 * @return {@code false} when no other router has them
	 */
	CompletableFuture<Boolean> transfer(Map<String, Long> tokens);

	/**
	 * Returns peers of a router that knows none.
	 * @return peers that have nothing and take nothing
	 */
	static TokenPeers none() {
		return new TokenPeers() {
			@Override
			public CompletableFuture<Void> borrow(Map<String, LoanRequest> requests, List<String> holders,
					Consumer<Map<String, Long>> receiver) {
				return CompletableFuture.completedFuture(null);
			}

			@Override
			public CompletableFuture<Boolean> transfer(Map<String, Long> tokens) {
				return CompletableFuture.completedFuture(false);
			}
		};
	}

}
