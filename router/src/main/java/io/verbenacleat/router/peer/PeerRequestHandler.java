package io.verbenacleat.router.peer;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.router.budget.TokenExchange;
import io.verbenacleat.router.config.RoutingTable;

/**
 * Answers the calls of other routers. Safe for use by several threads.
 */
public final class PeerRequestHandler {

	static final String FLEET = "fleet";

	static final String BORROW = "tokens/borrow";

	static final String GIVE = "tokens/give";

	private final FleetView fleet;

	private final TokenExchange tokens;

	private final PeerClient peers;

	private final ControlThread control;

	/**
	 * Creates the pages.
	 * @param fleet what this router knows of the fleet
	 * @param tokens the tokens of this router
	 * @param peers learns the addresses of those that ask
	 * @param control the control thread
	 */
	public PeerRequestHandler(FleetView fleet, TokenExchange tokens, PeerClient peers, ControlThread control) {
		this.fleet = fleet;
		this.tokens = tokens;
		this.peers = peers;
		this.control = control;
	}

	/**
	 * Answers one call.
	 * @param path the path of the call
	 * @param body its body
	 * @return the body of the answer; fails with a {@link JsonFormatException} when the
	 * call cannot be read
	 */
	public CompletableFuture<String> handle(String path, String body) {
		CompletableFuture<String> response = new CompletableFuture<>();
		this.control.execute(() -> {
			try {
				dispatch(path, body).whenComplete((value, failure) -> {
					if (failure != null) {
						response.completeExceptionally(failure);
					}
					else {
						response.complete(Json.write(value));
					}
				});
			}
			catch (JsonFormatException | RuntimeException ex) {
				response.completeExceptionally(ex);
			}
		});
		return response;
	}

	private CompletableFuture<?> dispatch(String path, String body) throws JsonFormatException {
		switch (path) {
			case "/" + FLEET -> {
				FleetSnapshot.Request request = Json.read(body, FleetSnapshot.Request.class);
				this.peers.addPeer(request.peerAddress());
				return CompletableFuture.completedFuture(snapshot(request));
			}
			case "/" + BORROW -> {
				PeerCalls.BorrowRequest request = Json.read(body, PeerCalls.BorrowRequest.class);
				this.peers.addPeer(request.peerAddress());
				return this.tokens.lend(request.loans()).thenApply(PeerCalls.TokenAmounts::new);
			}
			case "/" + GIVE -> {
				PeerCalls.TokenAmounts transferred = Json.read(body, PeerCalls.TokenAmounts.class);
				this.tokens.receive(transferred.tokens());
				return CompletableFuture.completedFuture(transferred);
			}
			default -> throw new JsonFormatException("No page " + path, null);
		}
	}

	private FleetSnapshot snapshot(FleetSnapshot.Request request) {
		RoutingTable table = this.fleet.configuration();
		boolean newerConfig = table != null && table.version() > request.configVersion();
		long ageMs = this.fleet.serversAgeMs();
		boolean newerServers = ageMs < request.serversAgeMs();
		return new FleetSnapshot((table != null && newerConfig) ? FleetSnapshot.Config.of(table) : null,
				newerServers ? List.copyOf(this.fleet.servers()) : null, ageMs, this.peers.fleetAddresses());
	}

}
