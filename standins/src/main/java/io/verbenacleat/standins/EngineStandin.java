package io.verbenacleat.standins;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.Route;
import io.jooby.StatusCode;
import io.verbenacleat.core.json.JsonFormatException;

/**
 * Stand-in for a model engine with the chat completions protocol. Its answers are a
 * function of the last user message: {@code id=<word>} in the message selects the tokens
 * {@code <word>-0}, {@code <word>-1} and so on, and {@code answer=<n>} sets their number.
 * Safe for use by several threads.
 */
public final class EngineStandin implements Standin {

	private final ScheduledExecutorService timers = StandinServer.newTimers("engine-standin-timers");

	private final List<Generation> generations = new CopyOnWriteArrayList<>();

	private final AtomicLong completions = new AtomicLong();

	private final EngineSettings settings;

	private final EngineState state;

	private final FencingGate fencingGate;

	private final StandinServer server;

	private EngineStandin(EngineSettings settings) {
		this.settings = settings;
		this.state = new EngineState(settings, this.timers);
		this.fencingGate = new FencingGate(settings.checkFencing);
		EngineRoutes routes = new EngineRoutes();
		this.server = StandinServer.start(settings.port, this.timers, routes::addTo);
	}

	/**
	 * Starts a stand-in.
	 * @param settings the settings, not changed afterwards
	 * @return the running stand-in
	 * @throws IllegalStateException when the port cannot be bound
	 */
	public static EngineStandin start(EngineSettings settings) {
		return new EngineStandin(settings);
	}

	/**
	 * Runs the engine stand-in as a program.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		StandinMain.runProgram("standin-engine", args, new EngineSettings(), EngineStandin::start);
	}

	/**
	 * Returns the records of the chat completions that were started. Refused requests
	 * have no record.
	 * @return a snapshot, in order of arrival
	 */
	public List<CompletionRecord> records() {
		return this.generations.stream().map(Generation::record).toList();
	}

	/**
	 * Returns the executed commands.
	 * @return a copy, in order of execution
	 */
	public List<ReceivedCommand> executedCommands() {
		return this.state.executedCommands();
	}

	/**
	 * Returns the loaded models, the role and the faults of the command path.
	 * @return the live state, through which tests switch the faults
	 */
	public EngineState state() {
		return this.state;
	}

	@Override
	public String url() {
		return this.server.url();
	}

	@Override
	public void close() {
		this.server.close();
	}

	private Context startCompletion(Context ctx) throws JsonFormatException {
		ChatRequest request = ChatRequest.of(StandinServer.readBody(ctx, JsonNode.class), this.settings.answerTokens);
		if (!this.state.serves(request.model())) {
			return StandinServer.sendJson(ctx, 404, StandinServer.ErrorBody.of("No model " + request.model(), 404));
		}
		String id = "chatcmpl-" + this.completions.incrementAndGet();
		ChatAnswer answer = new ChatAnswer(id, Instant.now().getEpochSecond(), request);
		Generation generation = new Generation(ctx, answer, this.settings, this.timers, record(ctx, request));
		this.generations.add(generation);
		generation.start();
		return ctx;
	}

	private Context executeCommand(Context ctx) throws JsonFormatException {
		ReceivedCommand command = StandinServer.readBody(ctx, ReceivedCommand.class)
			.withFencingToken(FencingGate.parseToken(fencingHeader(ctx)));
		command.loadedName();
		Duration delay = this.state.takeCommandDelay();
		if (delay != null) {
			// The fencing token is checked on execution, as it would be for a command
			// that the network delays.
			String fencingToken = fencingHeader(ctx);
			StandinServer.schedule(this.timers, delay, () -> executeDelayed(command, fencingToken));
			return ctx;
		}
		if (!this.fencingGate.admit(fencingHeader(ctx))) {
			return refuseFencingToken(ctx);
		}
		this.state.execute(command);
		return (this.state.takeLostAnswer()) ? ctx : StandinServer.sendJson(ctx, 200, command);
	}

	private void executeDelayed(ReceivedCommand command, String fencingToken) {
		if (this.fencingGate.admit(fencingToken)) {
			this.state.execute(command);
		}
	}

	private static Context refuseFencingToken(Context ctx) {
		return StandinServer.sendJson(ctx, 409,
				StandinServer.ErrorBody.of("The fencing number is lower than one seen before", 409));
	}

	private static CompletionRecord record(Context ctx, ChatRequest request) {
		return new CompletionRecord(StandinServer.header(ctx, "Verbena-Request-Id"), request.model(),
				request.promptTokens(), 0, false, FencingGate.parseToken(fencingHeader(ctx)),
				System.currentTimeMillis(), 0);
	}

	private static String fencingHeader(Context ctx) {
		return StandinServer.header(ctx, "Fencing-Token");
	}

	/**
	 * Maps paths to the handlers.
	 */
	private final class EngineRoutes {

		private void addTo(Jooby app) {
			app.post("/v1/chat/completions", fenced(EngineStandin.this::startCompletion));
			app.post("/v1/engine/orders", EngineStandin.this::executeCommand);
			app.get("/v1/models", (ctx) -> StandinServer.sendJson(ctx, 200, models()));
			app.post("/standin/commands", (ctx) -> {
				EngineStandin.this.state.apply(StandinServer.readBody(ctx, EngineState.Change.class));
				return ctx.send(StatusCode.NO_CONTENT);
			});
			app.get("/standin/records",
					(ctx) -> StandinServer.sendJson(ctx, 200, new Records(records(), executedCommands())));
		}

		private Route.Handler fenced(Route.Handler handler) {
			return (ctx) -> {
				if (!EngineStandin.this.fencingGate.admit(fencingHeader(ctx))) {
					return refuseFencingToken(ctx);
				}
				return handler.apply(ctx);
			};
		}

		private ModelList models() {
			EngineState state = EngineStandin.this.state;
			return new ModelList("list", state.role(), state.models());
		}

	}

	/**
	 * Answer of {@code GET /v1/models}.
	 *
	 * @param object always {@code list}
	 * @param role the role of the engine
	 * @param data the models and adapters that are loaded or being loaded
	 */
	record ModelList(String object, String role, Collection<EngineState.LoadedModel> data) {
	}

	/**
	 * Answer of {@code GET /standin/records}.
	 *
	 * @param requests the chat completions in order of arrival
	 * @param orders the executed commands in order of execution
	 */
	record Records(List<CompletionRecord> requests, List<ReceivedCommand> orders) {
	}

}
