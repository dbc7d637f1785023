package io.verbenacleat.standins;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.Route;
import io.verbenacleat.core.json.JsonFormatException;
import org.jspecify.annotations.Nullable;

/**
 * A model engine by the chat completions protocol, whose answers are a function of the
 * last user message. A message with {@code id=<word>} gets the tokens {@code <word>-0},
 * {@code <word>-1} and so on, {@code answer=<n>} sets their number. Safe for use by
 * several threads.
 */
public final class EngineStandin implements Standin {

	private final ScheduledExecutorService timers = StandinServer.newTimers("engine-standin-timers");

	private final List<Generation> generations = new CopyOnWriteArrayList<>();

	private final List<EngineOrder> orders = new CopyOnWriteArrayList<>();

	private final AtomicLong completions = new AtomicLong();

	private final EngineSettings settings;

	private final Set<String> models;

	private final FencingGate fencing;

	private final StandinServer server;

	private EngineStandin(EngineSettings settings) {
		this.settings = settings;
		this.models = new ConcurrentSkipListSet<>(settings.modelNames());
		this.fencing = new FencingGate(settings.checkFencing);
		EngineRoutes routes = new EngineRoutes();
		this.server = StandinServer.start(settings.port, this.timers, routes::addTo);
	}

	/**
	 * Starts a stand-in.
	 * @param settings the settings, not changed afterwards
	 * @return the running stand-in
	 */
	public static EngineStandin start(EngineSettings settings) {
		return new EngineStandin(settings);
	}

	/**
	 * Runs the program.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		StandinMain.runProgram("standin-engine", args, new EngineSettings(), EngineStandin::start);
	}

	/**
	 * Returns the record of each chat completion that was admitted, in order of arrival.
	 * @return the records
	 */
	public List<EngineRecord> records() {
		return this.generations.stream().map(Generation::record).toList();
	}

	/**
	 * Returns the accepted orders.
	 * @return the orders
	 */
	public List<EngineOrder> orders() {
		return List.copyOf(this.orders);
	}

	@Override
	public String url() {
		return this.server.url();
	}

	@Override
	public void close() {
		this.server.close();
	}

	private Context complete(Context ctx) throws JsonFormatException {
		ChatRequest request = ChatRequest.of(StandinServer.body(ctx, JsonNode.class), this.settings.answerTokens);
		if (!this.models.contains(request.model())) {
			return StandinServer.answer(ctx, 404, StandinServer.ErrorBody.of("No model " + request.model(), 404));
		}
		String id = "chatcmpl-" + this.completions.incrementAndGet();
		ChatAnswer answer = new ChatAnswer(id, Instant.now().getEpochSecond(), request);
		Generation generation = new Generation(ctx, answer, this.settings, this.timers, record(ctx, request));
		this.generations.add(generation);
		generation.start();
		return ctx;
	}

	private Context order(Context ctx) throws JsonFormatException {
		EngineOrder order = StandinServer.body(ctx, EngineOrder.class)
			.withFencingToken(FencingGate.number(fencingHeader(ctx)));
		@Nullable
		String loaded = order.loadedName();
		if (loaded != null) {
			this.models.add(loaded);
		}
		this.orders.add(order);
		return StandinServer.answer(ctx, 200, order);
	}

	private static EngineRecord record(Context ctx, ChatRequest request) {
		return new EngineRecord(StandinServer.header(ctx, "Verbena-Request-Id"), request.model(),
				request.promptTokens(), 0, false, FencingGate.number(fencingHeader(ctx)), System.currentTimeMillis(),
				0);
	}

	private static String fencingHeader(Context ctx) {
		return StandinServer.header(ctx, "Fencing-Token");
	}

	/**
	 * The routes.
	 */
	private final class EngineRoutes {

		private void addTo(Jooby app) {
			app.post("/v1/chat/completions", fenced(EngineStandin.this::complete));
			app.post("/v1/engine/orders", fenced(EngineStandin.this::order));
			app.get("/v1/models", (ctx) -> StandinServer.answer(ctx, 200, models()));
			app.get("/standin/records", (ctx) -> StandinServer.answer(ctx, 200, new Records(records(), orders())));
		}

		private Route.Handler fenced(Route.Handler handler) {
			return (ctx) -> {
				if (!EngineStandin.this.fencing.admit(fencingHeader(ctx))) {
					return StandinServer.answer(ctx, 409,
							StandinServer.ErrorBody.of("The fencing number is lower than one seen before", 409));
				}
				return handler.apply(ctx);
			};
		}

		private ModelList models() {
			return new ModelList("list",
					EngineStandin.this.models.stream().map((name) -> new Model(name, "model", "standin")).toList());
		}

	}

	/**
	 * The answer to a list of models.
	 *
	 * @param object {@code list}
	 * @param data the models
	 */
	record ModelList(String object, List<Model> data) {
	}

	/**
	 * One model of a list.
	 *
	 * @param id the name
	 * @param object {@code model}
	 * @param ownedBy the owner
	 */
	record Model(String id, String object, @JsonProperty("owned_by") String ownedBy) {
	}

	/**
	 * The log of the engine.
	 *
	 * @param requests chat completions in order of arrival
	 * @param orders accepted orders
	 */
	record Records(List<EngineRecord> requests, List<EngineOrder> orders) {
	}

}
