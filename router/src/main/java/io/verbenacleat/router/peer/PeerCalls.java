package io.verbenacleat.router.peer;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.router.budget.TokenWish;

/**
 * Calls of other routers. Safe for use by several threads.
 */
interface PeerCalls {

	/**
	 * Asks a router what it knows of the fleet.
	 * @param address its address
	 * @param question what this router knows
	 * @return the answer; fails when there is none
	 */
	CompletableFuture<FleetSnapshot> fleet(String address, FleetSnapshot.Question question);

	/**
	 * Asks a router for tokens.
	 * @param address its address
	 * @param question the wishes
	 * @return the tokens by workspace; fails when there is no answer
	 */
	CompletableFuture<Map<String, Long>> borrow(String address, BorrowQuestion question);

	/**
	 * Gives tokens to a router.
	 * @param address its address
	 * @param tokens the tokens by workspace
	 * @return {@code false} when the router certainly does not have them
	 */
	CompletableFuture<Boolean> give(String address, Map<String, Long> tokens);

	/**
	 * Asks for tokens.
	 *
	 * @param wishes what is asked for, by workspace
	 * @param peerAddress where the asking router listens for other routers
	 */
	record BorrowQuestion(Map<String, TokenWish> wishes, String peerAddress) {
	}

	/**
	 * Tokens that pass from one router to another.
	 *
	 * @param tokens the tokens by workspace
	 */
	record Tokens(Map<String, Long> tokens) {
	}

}
