package io.verbenacleat.router.peer;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.verbenacleat.router.budget.GrantRow;
import io.verbenacleat.router.budget.LoanRequest;
import io.verbenacleat.router.quarantine.CrashReport;

/**
 * Calls of other routers. Safe for use by several threads.
 */
interface PeerCalls {

	/**
	 * Fetches the state of the fleet from a router.
	 * @param address the peer address of the router
	 * @param request the versions that this router has
	 * @return the snapshot; fails if there is no valid response
	 */
	CompletableFuture<FleetSnapshot> fetchSnapshot(String address, FleetSnapshot.Request request);

	/**
	 * Borrows tokens from a router.
	 * @param address the peer address of the router
	 * @param request what to borrow
	 * @return the tokens by workspace; fails if there is no valid response
	 */
	CompletableFuture<Map<String, Long>> borrow(String address, BorrowRequest request);

	/**
	 * Transfers tokens to a router.
	 * @param address the peer address of the router
	 * @param tokens the tokens by workspace
	 * @return completes with {@code false} if the router certainly did not receive them
	 */
	CompletableFuture<Boolean> transfer(String address, Map<String, Long> tokens);

	/**
	 * Sends shared rows of workspaces to a router, which remembers them.
	 * @param address the peer address of the router
	 * @param grants the rows
	 * @return completes when they were received; fails if there is no valid response
	 */
	CompletableFuture<Grants> announce(String address, Grants grants);

	/**
	 * Sends crash reports to a router.
	 * @param address the peer address of the router
	 * @param reports the reports
	 * @return completes when they were received; fails if there is no valid response
	 */
	CompletableFuture<CrashReports> report(String address, CrashReports reports);

	/**
	 * Shared rows that were written.
	 *
	 * @param rows the rows by workspace
	 */
	record Grants(Map<String, GrantRow> rows) {
	}

	/**
	 * Crash reports that are passed on.
	 *
	 * @param reports the reports
	 */
	record CrashReports(List<CrashReport> reports) {
	}

	/**
	 * A request to borrow tokens.
	 *
	 * @param loans what to borrow, by workspace
	 * @param peerAddress the peer address of the borrower
	 */
	record BorrowRequest(@JsonProperty("wishes") Map<String, LoanRequest> loans, String peerAddress) {
	}

	/**
	 * Tokens that are lent or transferred to another router.
	 *
	 * @param tokens the tokens by workspace
	 */
	record TokenAmounts(Map<String, Long> tokens) {
	}

}
