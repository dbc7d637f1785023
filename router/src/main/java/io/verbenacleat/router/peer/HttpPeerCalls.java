package io.verbenacleat.router.peer;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.platform.HttpCalls;
import io.verbenacleat.core.platform.HttpReads;
import io.verbenacleat.router.budget.TokenExchange;

/**
 * Calls of other routers by HTTP with JSON bodies. Safe for use by several threads.
 */
final class HttpPeerCalls implements PeerCalls {

	private static final int OK = 200;

	private final HttpCalls calls;

	/**
	 * Creates the calls.
	 * @param calls whose threads and connections are used; its timeout holds
	 */
	HttpPeerCalls(HttpCalls calls) {
		this.calls = calls;
	}

	@Override
	public CompletableFuture<FleetSnapshot> fleet(String address, FleetSnapshot.Question question) {
		return HttpReads.json(to(address).post(PeerRequestHandler.FLEET, question), FleetSnapshot.class);
	}

	@Override
	public CompletableFuture<Map<String, Long>> borrow(String address, BorrowQuestion question) {
		return HttpReads.json(to(address).post(PeerRequestHandler.BORROW, question), Tokens.class)
			.thenApply(Tokens::tokens);
	}

	/**
	 * Gives tokens; without an answer the other router may have them, and
	 * {@link TokenExchange} counts them as spent.
	 */
	@Override
	public CompletableFuture<Boolean> give(String address, Map<String, Long> tokens) {
		return to(address).post(PeerRequestHandler.GIVE, new Tokens(tokens))
			.handle((answer, failure) -> (failure != null) ? HttpReads.sent(failure) : answer.status() == OK);
	}

	private HttpCalls to(String address) {
		return this.calls.to("http://" + address);
	}

}
