package io.verbenacleat.standins;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import io.jooby.Jooby;
import io.verbenacleat.core.json.JsonFormatException;
import org.jspecify.annotations.Nullable;

/**
 * Stand-in for an application service with bookings and payments. It executes every call
 * that arrives and does not deduplicate, so that its records show a call that was
 * executed twice. Safe for use by several threads.
 */
public final class BookingStandin implements Standin {

	private final ScheduledExecutorService timers = StandinServer.newTimers("booking-standin-timers");

	private final Map<String, ObjectNode> bookings = new LinkedHashMap<>();

	private final Map<String, Integer> confirmations = new LinkedHashMap<>();

	private final List<BookingCall> calls = new ArrayList<>();

	private final Duration answerDelay;

	private final StandinServer server;

	private BookingStandin(BookingSettings settings) {
		this.answerDelay = Duration.ofMillis(settings.delayMs);
		BookingRoutes routes = new BookingRoutes();
		this.server = StandinServer.start(settings.port, this.timers, routes::addTo);
	}

	/**
	 * Starts a stand-in.
	 * @param settings the settings, not changed afterwards
	 * @return the running stand-in
	 * @throws IllegalStateException when the port cannot be bound
	 */
	public static BookingStandin start(BookingSettings settings) {
		return new BookingStandin(settings);
	}

	/**
	 * Runs the booking stand-in as a program.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		StandinMain.runProgram("standin-booking", args, new BookingSettings(), BookingStandin::start);
	}

	/**
	 * Returns the executed calls.
	 * @return a copy of the records, in order of execution
	 */
	public synchronized List<BookingCall> records() {
		return List.copyOf(this.calls);
	}

	@Override
	public String url() {
		return this.server.url();
	}

	@Override
	public void close() {
		this.server.close();
	}

	private synchronized Context create(Context ctx) throws JsonFormatException {
		ObjectNode booking = StandinServer.readBody(ctx, ObjectNode.class);
		recordCall(ctx);
		String id = "booking-" + (this.bookings.size() + 1);
		booking.put("id", id);
		this.bookings.put(id, booking);
		return answerAfterDelay(ctx, 201, booking);
	}

	private synchronized Context list(Context ctx) {
		recordCall(ctx);
		return answerAfterDelay(ctx, 200, new Bookings(List.copyOf(this.bookings.values())));
	}

	private synchronized Context find(Context ctx) {
		recordCall(ctx);
		@Nullable
		ObjectNode booking = this.bookings.get(ctx.path("id").value());
		if (booking == null) {
			return answerAfterDelay(ctx, 404, StandinServer.ErrorBody.of("No such booking", 404));
		}
		return answerAfterDelay(ctx, 200, booking);
	}

	private synchronized Context confirm(Context ctx) {
		recordCall(ctx);
		String id = ctx.path("id").value();
		int count = this.confirmations.merge(id, 1, Integer::sum);
		return answerAfterDelay(ctx, 200, new Payment(id, "confirmed", count));
	}

	private void recordCall(Context ctx) {
		this.calls.add(new BookingCall(this.calls.size() + 1, ctx.getMethod(), ctx.getRequestPath(),
				StandinServer.header(ctx, "Verbena-Request-Id"), StandinServer.header(ctx, "Idempotency-Key"),
				System.currentTimeMillis()));
	}

	private Context answerAfterDelay(Context ctx, int status, Object body) {
		StandinServer.schedule(this.timers, this.answerDelay, () -> StandinServer.sendJson(ctx, status, body));
		return ctx;
	}

	/**
	 * Maps paths to the handlers.
	 */
	private final class BookingRoutes {

		private void addTo(Jooby app) {
			app.post("/bookings", BookingStandin.this::create);
			app.get("/bookings", BookingStandin.this::list);
			app.get("/bookings/{id}", BookingStandin.this::find);
			app.post("/payments/{id}/confirm", BookingStandin.this::confirm);
			app.get("/standin/records", (ctx) -> StandinServer.sendJson(ctx, 200, new Records(records())));
		}

	}

	/**
	 * Answer of {@code GET /bookings}.
	 *
	 * @param bookings the bookings in order of creation
	 */
	record Bookings(List<ObjectNode> bookings) {
	}

	/**
	 * Answer to the confirmation of a payment.
	 *
	 * @param id the id of the payment
	 * @param status always {@code confirmed}
	 * @param confirmations the number of confirmations, this one included
	 */
	record Payment(String id, String status, int confirmations) {
	}

	/**
	 * Answer of {@code GET /standin/records}.
	 *
	 * @param calls the executed calls in order of execution
	 */
	record Records(List<BookingCall> calls) {
	}

}
