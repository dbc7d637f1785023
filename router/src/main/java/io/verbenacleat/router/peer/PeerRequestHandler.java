package io.verbenacleat.router.peer;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.router.budget.PrepaidLedger;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.server.EvacuationState;

/**
 * Handles the calls of other routers. Safe for use by several threads.
 */
public final class PeerRequestHandler {

	static final String FLEET = "fleet";

	static final String BORROW = "tokens/borrow";

	static final String TRANSFER = "tokens/give";

	static final String CRASHES = "crashes";

	static final String GRANTS = "tokens/granted";

	private final FleetView fleet;

	private final PrepaidLedger ledger;

	private final PeerClient peers;

	private final ControlThread control;

	/**
	 * Creates a handler.
	 * @param fleet the state of the fleet
	 * @param ledger the tokens of this router
	 * @param peers the client to which the addresses of calling routers are added
	 * @param control the control thread
	 */
	public PeerRequestHandler(FleetView fleet, PrepaidLedger ledger, PeerClient peers, ControlThread control) {
		this.fleet = fleet;
		this.ledger = ledger;
		this.peers = peers;
		this.control = control;
	}

	/**
	 * Handles one call.
	 * @param path the path of the call
	 * @param body the JSON body of the call
	 * @return the JSON body of the response; fails with a {@link JsonFormatException} if
	 * the path is unknown or the body is malformed
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
				return CompletableFuture.completedFuture(respond(this.fleet, this.peers, request));
			}
			case "/" + BORROW -> {
				PeerCalls.BorrowRequest request = Json.read(body, PeerCalls.BorrowRequest.class);
				this.peers.addPeer(request.peerAddress());
				return this.ledger.exchange()
					.lend(request.loans(), request.peerAddress())
					.thenApply(PeerCalls.TokenAmounts::new);
			}
			case "/" + TRANSFER -> {
				PeerCalls.TokenAmounts transferred = Json.read(body, PeerCalls.TokenAmounts.class);
				this.ledger.exchange().receive(transferred.tokens());
				return CompletableFuture.completedFuture(transferred);
			}
			case "/" + CRASHES -> {
				PeerCalls.CrashReports received = Json.read(body, PeerCalls.CrashReports.class);
				if (received.reports() == null) {
					throw new JsonFormatException("No crash reports", null);
				}
				this.fleet.applyCrashReports(received.reports());
				return CompletableFuture.completedFuture(new PeerCalls.CrashReports(List.of()));
			}
			case "/" + GRANTS -> {
				PeerCalls.Grants granted = Json.read(body, PeerCalls.Grants.class);
				if (granted.rows() == null) {
					throw new JsonFormatException("No rows", null);
				}
				this.ledger.remember(granted.rows());
				return CompletableFuture.completedFuture(new PeerCalls.Grants(Map.of()));
			}
			default -> throw new JsonFormatException("No page " + path, null);
		}
	}

	/**
	 * Handles a request for a snapshot.
	 * @param fleet the state of this router
	 * @param peers the client to which the address of the calling router is added
	 * @param request the request
	 * @return the snapshot
	 */
	static FleetSnapshot respond(FleetView fleet, PeerClient peers, FleetSnapshot.Request request) {
		peers.addPeer(request.peerAddress());
		EvacuationState received = request.evacuations();
		if (received != null) {
			fleet.applyEvacuations(received, request.peerAddress());
		}
		EvacuationState known = FleetSnapshot.toMessage(fleet.evacuations());
		long ageMs = fleet.serversAgeMs();
		if (request.evacuationsOnly()) {
			return new FleetSnapshot(null, null, ageMs, List.of(), null, known);
		}
		RoutingTable table = fleet.configuration();
		boolean newerConfig = table != null && table.version() > request.configVersion();
		boolean newerServers = ageMs < request.serversAgeMs();
		return new FleetSnapshot((table != null && newerConfig) ? FleetSnapshot.Config.of(table) : null,
				newerServers ? List.copyOf(fleet.servers()) : null, ageMs, peers.fleetAddresses(), fleet.crashReports(),
				known);
	}

}
