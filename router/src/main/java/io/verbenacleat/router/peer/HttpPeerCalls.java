package io.verbenacleat.router.peer;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.platform.HttpCalls;
import io.verbenacleat.core.platform.HttpResponses;
import io.verbenacleat.router.budget.TokenExchange;

/**
 * Calls of other routers over HTTP with JSON bodies. Safe for use by several threads.
 */
final class HttpPeerCalls implements PeerCalls {

	private static final int OK = 200;

	private final HttpCalls calls;

	/**
	 * Creates the calls.
	 * @param calls the HTTP client, whose timeout applies to each call
	 */
	HttpPeerCalls(HttpCalls calls) {
		this.calls = calls;
	}

	@Override
	public CompletableFuture<FleetSnapshot> fetchSnapshot(String address, FleetSnapshot.Request request) {
		return HttpResponses.readJson(to(address).post(PeerRequestHandler.FLEET, request), FleetSnapshot.class);
	}

	@Override
	public CompletableFuture<Map<String, Long>> borrow(String address, BorrowRequest request) {
		return HttpResponses.readJson(to(address).post(PeerRequestHandler.BORROW, request), TokenAmounts.class)
			.thenApply(TokenAmounts::tokens);
	}

	/**
	 * Transfers tokens. Without a response the other router may have received them, so
	 * {@link TokenExchange} counts them as spent.
	 */
	@Override
	public CompletableFuture<Boolean> transfer(String address, Map<String, Long> tokens) {
		return to(address).post(PeerRequestHandler.TRANSFER, new TokenAmounts(tokens))
			.handle((response, failure) -> (failure != null) ? HttpResponses.mayHaveBeenSent(failure)
					: response.status() == OK);
	}

	@Override
	public CompletableFuture<CrashReports> report(String address, CrashReports reports) {
		return HttpResponses.readJson(to(address).post(PeerRequestHandler.CRASHES, reports), CrashReports.class);
	}

	@Override
	public CompletableFuture<Grants> announce(String address, Grants grants) {
		return HttpResponses.readJson(to(address).post(PeerRequestHandler.GRANTS, grants), Grants.class);
	}

	private HttpCalls to(String address) {
		return this.calls.withBaseUrl("http://" + address);
	}

}
