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

	private final PeerClient link;

	private final ControlThread control;

	/**
	 * Creates the pages.
	 * @param fleet what this router knows of the fleet
	 * @param tokens the tokens of this router
	 * @param link learns the addresses of those that ask
	 * @param control the control thread
	 */
	public PeerRequestHandler(FleetView fleet, TokenExchange tokens, PeerClient link, ControlThread control) {
		this.fleet = fleet;
		this.tokens = tokens;
		this.link = link;
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
		CompletableFuture<String> answer = new CompletableFuture<>();
		this.control.execute(() -> {
			try {
				run(path, body).whenComplete((value, failure) -> {
					if (failure != null) {
						answer.completeExceptionally(failure);
					}
					else {
						answer.complete(Json.write(value));
					}
				});
			}
			catch (JsonFormatException | RuntimeException ex) {
				answer.completeExceptionally(ex);
			}
		});
		return answer;
	}

	private CompletableFuture<?> run(String path, String body) throws JsonFormatException {
		switch (path) {
			case "/" + FLEET -> {
				FleetSnapshot.Question question = Json.read(body, FleetSnapshot.Question.class);
				this.link.heardOf(question.peerAddress());
				return CompletableFuture.completedFuture(snapshot(question));
			}
			case "/" + BORROW -> {
				PeerCalls.BorrowQuestion question = Json.read(body, PeerCalls.BorrowQuestion.class);
				this.link.heardOf(question.peerAddress());
				return this.tokens.lend(question.wishes()).thenApply(PeerCalls.Tokens::new);
			}
			case "/" + GIVE -> {
				PeerCalls.Tokens given = Json.read(body, PeerCalls.Tokens.class);
				this.tokens.receive(given.tokens());
				return CompletableFuture.completedFuture(given);
			}
			default -> throw new JsonFormatException("No page " + path, null);
		}
	}

	private FleetSnapshot snapshot(FleetSnapshot.Question question) {
		RoutingTable table = this.fleet.configuration();
		boolean newerConfig = table != null && table.version() > question.configVersion();
		long ageMs = this.fleet.serversAgeMs();
		boolean newerServers = ageMs < question.serversAgeMs();
		return new FleetSnapshot((table != null && newerConfig) ? FleetSnapshot.Config.of(table) : null,
				newerServers ? List.copyOf(this.fleet.servers()) : null, ageMs, this.link.peers());
	}

}
