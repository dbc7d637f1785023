package io.verbenacleat.router.peer;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.verbenacleat.router.budget.LoanRequest;

/**
 * Calls of other routers. Safe for use by several threads.
 */
interface PeerCalls {

	/**
	 * Asks a router what it knows of the fleet.
	 * @param address its address
	 * @param request what this router knows
	 * @return the answer; fails when there is none
	 */
	CompletableFuture<FleetSnapshot> fetchSnapshot(String address, FleetSnapshot.Request request);

	/**
	 * Asks a router for tokens.
	 * @param address its address
	 * @param request the wishes
	 * @return the tokens by workspace; fails when there is no answer
	 */
	CompletableFuture<Map<String, Long>> borrow(String address, BorrowRequest request);

	/**
	 * Gives tokens to a router.
	 * @param address its address
	 * @param tokens the tokens by workspace
	 * @return {@code false} when the router certainly does not have them
	 */
	CompletableFuture<Boolean> transfer(String address, Map<String, Long> tokens);

	/**
	 * Asks for tokens.
	 *
	 * @param loans what is asked for, by workspace
	 * @param peerAddress where the asking router listens for other routers
	 */
	record BorrowRequest(@JsonProperty("wishes") Map<String, LoanRequest> loans, String peerAddress) {
	}

	/**
	 * Tokens that pass from one router to another.
	 *
	 * @param tokens the tokens by workspace
	 */
	record TokenAmounts(Map<String, Long> tokens) {
	}

}
