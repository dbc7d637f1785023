package io.verbenacleat.standins;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.Route;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.HostEntry;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WriteOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Stand-in for the platform, in one process and in memory. It serves the protocol of
 * {@code docs/platform-protocol.md} and has faults that are switched at run time. Paths
 * under {@code /standin} control the stand-in and need no token. Safe for use by several
 * threads.
 *
 * <pre>{@code
 * try (PlatformStandin platform = PlatformStandin.start(new PlatformSettings())) {
 *     platform.faults().loseNextAnswers(1);
 *     ...
 * }
 * }</pre>
 */
public final class PlatformStandin implements Standin {

	private static final int DEFAULT_LIST_LIMIT = 1_000;

	private final ScheduledExecutorService timers = StandinServer.newTimers("platform-standin-timers");

	private final PlatformFaults faults = new PlatformFaults();

	private final PlatformTables tables = new PlatformTables();

	private final PlatformObjects objects = new PlatformObjects();

	private final PlatformHosts hosts;

	private final PlatformWeights weights;

	private final byte[] authorization;

	private final StandinServer server;

	private PlatformStandin(PlatformSettings settings) {
		this.hosts = new PlatformHosts(this.timers, settings.hostListLagMs);
		this.weights = new PlatformWeights(Clock.systemUTC(), settings.weightsPerMinute);
		this.authorization = (settings.platformToken.isEmpty()) ? new byte[0]
				: ("Bearer " + settings.platformToken).getBytes(StandardCharsets.UTF_8);
		PlatformRoutes routes = new PlatformRoutes();
		this.server = StandinServer.start(settings.port, this.timers, routes::addTo);
	}

	/**
	 * Starts a stand-in.
	 * @param settings the settings, not changed afterwards
	 * @return the running stand-in
	 * @throws IllegalStateException when the port cannot be bound
	 */
	public static PlatformStandin start(PlatformSettings settings) {
		return new PlatformStandin(settings);
	}

	/**
	 * Runs the platform stand-in as a program.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		StandinMain.runProgram("standin-platform", args, new PlatformSettings(), PlatformStandin::start);
	}

	/**
	 * Returns the faults, which can be switched at any time.
	 * @return the live faults
	 */
	public PlatformFaults faults() {
		return this.faults;
	}

	/**
	 * Replaces the host list. The change becomes visible after the lag of the settings.
	 * @param hosts the new list
	 */
	public void setHosts(List<HostEntry> hosts) {
		this.hosts.set(new PlatformHosts.Change(hosts, null));
	}

	@Override
	public String url() {
		return this.server.url();
	}

	@Override
	public void close() {
		this.server.close();
	}

	private boolean isAuthorized(Context ctx) {
		byte[] given = StandinServer.header(ctx, "Authorization").getBytes(StandardCharsets.UTF_8);
		return this.authorization.length == 0 || MessageDigest.isEqual(this.authorization, given);
	}

	private void answerAfterDelay(Context ctx, int status, Object body) {
		StandinServer.schedule(this.timers, this.faults.answerDelay(), () -> StandinServer.sendJson(ctx, status, body));
	}

	private void transact(Context ctx) throws JsonFormatException {
		Transaction transaction = StandinServer.readBody(ctx, Transaction.class);
		PlatformTables.validate(transaction);
		@Nullable
		Duration delay = this.faults.takeTransactionDelay();
		if (delay != null) {
			StandinServer.schedule(this.timers, delay, () -> this.tables.transact(transaction));
			return;
		}
		WriteOutcome outcome = this.tables.transact(transaction);
		if (outcome instanceof WriteOutcome.Applied applied) {
			if (!this.faults.takeLostAnswer()) {
				answerAfterDelay(ctx, 200, new PlatformTables.VersionsAnswer(applied.versions()));
			}
		}
		else if (outcome instanceof WriteOutcome.Conflict conflict) {
			answerAfterDelay(ctx, 409, new PlatformTables.VersionsAnswer(conflict.versions()));
		}
	}

	private void fetchWeights(Context ctx) {
		long retryAfterSeconds = this.weights.countFetch();
		if (retryAfterSeconds > 0) {
			ctx.setResponseHeader("Retry-After", Long.toString(retryAfterSeconds));
			answerAfterDelay(ctx, 429, StandinServer.ErrorBody.of("The rate limit is exceeded", 429));
			return;
		}
		answerAfterDelay(ctx, 200, PlatformWeights.metadata(ctx.path("model").value()));
	}

	private void putObject(Context ctx) {
		this.objects.put(ctx.path("key").value(), ctx.body().bytes());
		StandinServer.schedule(this.timers, this.faults.answerDelay(), () -> {
			ctx.setResponseCode(204);
			ctx.send(new byte[0]);
		});
	}

	private void getObject(Context ctx) {
		byte @Nullable [] bytes = this.objects.get(ctx.path("key").value());
		if (bytes == null) {
			answerAfterDelay(ctx, 404, StandinServer.ErrorBody.of("No such object", 404));
			return;
		}
		StandinServer.schedule(this.timers, this.faults.answerDelay(), () -> {
			ctx.setResponseType(MediaType.octetStream);
			ctx.send(bytes);
		});
	}

	private void listObjects(Context ctx) {
		int limit = ctx.query("limit").intValue(DEFAULT_LIST_LIMIT);
		answerAfterDelay(ctx, 200,
				this.objects.list(ctx.query("prefix").value(""), ctx.query("after").value(""), limit));
	}

	/**
	 * Maps paths to the handlers. A handler returns at once and the answer is sent after
	 * the delay of the faults.
	 */
	private final class PlatformRoutes {

		private void addTo(Jooby app) {
			app.post("/v1/tables/read", guarded((ctx) -> answerAfterDelay(ctx, 200,
					PlatformStandin.this.tables.read(StandinServer.readBody(ctx, PlatformTables.ReadRequest.class)))));
			app.post("/v1/tables/scan", guarded((ctx) -> answerAfterDelay(ctx, 200,
					PlatformStandin.this.tables.scan(StandinServer.readBody(ctx, PlatformTables.ScanRequest.class)))));
			app.post("/v1/tables/transact", guarded(PlatformStandin.this::transact));
			app.get("/v1/hosts", guarded((ctx) -> answerAfterDelay(ctx, 200,
					new PlatformHosts.HostsAnswer(PlatformStandin.this.hosts.visibleHosts()))));
			app.get("/v1/objects", guarded(PlatformStandin.this::listObjects));
			app.get("/v1/objects/*key", guarded(PlatformStandin.this::getObject));
			app.put("/v1/objects/*key", guarded(PlatformStandin.this::putObject));
			app.get("/v1/weights/{model}", guarded(PlatformStandin.this::fetchWeights));
			app.post("/standin/faults", this::changeFaults);
			app.put("/standin/hosts", this::changeHosts);
			app.get("/standin/records",
					(ctx) -> StandinServer.sendJson(ctx, 200, PlatformStandin.this.tables.records()));
		}

		private Context changeFaults(Context ctx) throws JsonFormatException {
			PlatformStandin.this.faults.apply(StandinServer.readBody(ctx, PlatformFaults.Change.class));
			return StandinServer.sendJson(ctx, 200, new Acknowledgement(true));
		}

		private Context changeHosts(Context ctx) throws JsonFormatException {
			PlatformStandin.this.hosts.set(StandinServer.readBody(ctx, PlatformHosts.Change.class));
			return StandinServer.sendJson(ctx, 200, new Acknowledgement(true));
		}

		private Route.Handler guarded(PlatformHandler handler) {
			return (ctx) -> {
				if (!isAuthorized(ctx)) {
					answerAfterDelay(ctx, 401, StandinServer.ErrorBody.of("The bearer token is missing or wrong", 401));
				}
				else if (PlatformStandin.this.faults.shouldRefuse()) {
					answerAfterDelay(ctx, 503, new PlatformTables.RefusalAnswer(false));
				}
				else {
					handler.handle(ctx);
				}
				return ctx;
			};
		}

	}

	/**
	 * Handles a request that was neither unauthorized nor refused.
	 */
	@FunctionalInterface
	private interface PlatformHandler {

		void handle(Context ctx) throws JsonFormatException;

	}

	/**
	 * Answer to a change of the faults or the host list.
	 *
	 * @param accepted always {@code true}
	 */
	record Acknowledgement(boolean accepted) {
	}

}
