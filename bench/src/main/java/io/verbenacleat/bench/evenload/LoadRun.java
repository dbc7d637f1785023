package io.verbenacleat.bench.evenload;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import io.verbenacleat.bench.routing.VirtualTime;
import io.verbenacleat.router.balance.LoadReport;
import io.verbenacleat.router.balance.PermitSchedule;
import io.verbenacleat.router.balance.RequestDescription;
import io.verbenacleat.router.balance.ServerLoadModel;
import io.verbenacleat.router.balance.ServerState;
import io.verbenacleat.router.balance.ServerStates;
import io.verbenacleat.router.relay.LoadPollSchedule;
import io.verbenacleat.router.server.BackendServer;
import io.verbenacleat.router.server.ServerList;

/**
 * One run of routers with one policy in front of simulated servers. Not safe for use by
 * several threads.
 */
final class LoadRun {

	static final long WARM_UP_US = 8_000_000;

	static final long WINDOW_US = 500_000;

	private static final int TOKENS_PER_EVENT = 16;

	private static final double[] SPEEDS = { 0.7, 0.7, 1.7 };

	private static final int SHARE_FACTOR = 10;

	private static final long ROUND_US = 1_000_000;

	private static final long US_PER_MS = 1_000;

	/** The one-way network time between router and server. */
	private static final long NETWORK_US = 500;

	/** How old a report is when it arrives. */
	private static final long MIN_REPORT_AGE_US = 100_000;

	private static final long MAX_REPORT_AGE_US = 300_000;

	private static final long MAX_LATE_US = 4_000_000;

	/** How long a report that is told to another router takes in addition. */
	private static final long TOLD_US = 250_000;

	private final LoadCase loadCase;

	private final Contender contender;

	private final long endUs;

	private final VirtualTime time = new VirtualTime();

	private final SplittableRandom random;

	private final List<SimulatedServer> servers = new ArrayList<>();

	private final List<BackendServer> registrations = new ArrayList<>();

	private final List<ServerStates> routers = new ArrayList<>();

	/** The cumulative shares of the routers. */
	private final double[] shares;

	private final LoadStatistics statistics = new LoadStatistics();

	LoadRun(LoadCase loadCase, Contender contender, long seed) {
		this.loadCase = loadCase;
		this.contender = contender;
		this.random = new SplittableRandom(seed);
		this.endUs = WARM_UP_US + loadCase.durationUs();
		this.shares = new double[loadCase.routers()];
	}

	LoadStatistics run() {
		for (int i = 0; i < this.loadCase.servers(); i++) {
			this.servers.add(new SimulatedServer(this.time, this.loadCase.engine(), SPEEDS[i % SPEEDS.length]));
			this.registrations.add(new BackendServer("srv-" + i, 1, "s", "10.0.0.1", 1 + i, "zone-" + i % 3,
					SimulatedServer.BATCH, "v1", false));
		}
		double sum = 0;
		for (int i = 0; i < this.shares.length; i++) {
			sum += Math.pow(SHARE_FACTOR, (double) i / Math.max(1, this.shares.length - 1));
			this.shares[i] = sum;
			this.routers.add(newRouter(i));
			scheduleRounds(i);
		}
		for (PromptKind kind : this.loadCase.kinds()) {
			scheduleArrival(kind);
		}
		scheduleFaults();
		this.time.schedule(WARM_UP_US, this::startWindows);
		this.time.run();
		return this.statistics;
	}

	private ServerStates newRouter(int number) {
		SplittableRandom own = this.random.split();
		ServerStates states = this.contender.newStates("zone-" + number % 3, own::nextDouble,
				() -> this.time.nowUs() / US_PER_MS, new PermitSchedule(() -> PermitSchedule.UNKNOWN_TIME_MS));
		states.update(ServerList.of(this.registrations));
		return states;
	}

	// Spreads the restarts over the measured time.
	private void scheduleFaults() {
		long measuredUs = this.endUs - WARM_UP_US;
		if (this.loadCase.faults().routersRestart()) {
			for (int i = 0; i < this.routers.size(); i++) {
				int router = i;
				this.time.schedule(WARM_UP_US + this.random.nextLong(measuredUs),
						() -> this.routers.set(router, newRouter(router)));
			}
		}
		if (this.loadCase.faults().serversRestart()) {
			for (int i = 0; i < this.servers.size(); i += 3) {
				int server = i;
				this.time.schedule(WARM_UP_US + this.random.nextLong(measuredUs), () -> restartServer(server));
			}
		}
	}

	private void restartServer(int number) {
		SimulatedServer ended = this.servers.get(number);
		this.servers.set(number, new SimulatedServer(this.time, this.loadCase.engine(), ended.speed()));
		BackendServer old = this.registrations.get(number);
		this.registrations.set(number, new BackendServer(old.id(), old.startedAtMs() + 1, old.service(), old.host(),
				old.port(), old.zone(), old.slots(), old.version(), false));
		this.routers.forEach((router) -> router.update(ServerList.of(this.registrations)));
		ended.end();
	}

	private void scheduleRounds(int router) {
		long start = this.random.nextLong(ROUND_US);
		long firstRound = this.random.nextInt(1_000);
		this.time.schedule(start, () -> round(router, firstRound));
	}

	private void round(int router, long number) {
		if (this.time.nowUs() >= this.endUs) {
			return;
		}
		for (int i = 0; i < this.servers.size(); i++) {
			if (LoadPollSchedule.isDue(this.registrations.get(i).id(), number, this.loadCase.routers())) {
				int server = i;
				this.time.schedule(this.random.nextLong(ROUND_US / 2), () -> poll(router, server));
			}
		}
		this.time.schedule(ROUND_US, () -> round(router, number + 1));
	}

	private void poll(int router, int server) {
		this.statistics.polls += isMeasured() ? 1 : 0;
		LoadReport report = this.servers.get(server).report();
		long requestedAtMs = this.time.nowUs() / US_PER_MS;
		long ageUs = MIN_REPORT_AGE_US + this.random.nextLong(MAX_REPORT_AGE_US - MIN_REPORT_AGE_US);
		if (this.random.nextDouble() < this.loadCase.faults().lostReports()) {
			return;
		}
		if (this.random.nextDouble() < this.loadCase.faults().lateReports()) {
			ageUs += this.random.nextLong(MAX_LATE_US);
		}
		ServerState polled = state(router, server);
		this.time.schedule(ageUs, () -> polled.onReport(report, requestedAtMs));
		if (this.contender.tellsReports()) {
			this.time.schedule(ageUs + TOLD_US, () -> {
				for (int other = 0; other < this.routers.size(); other++) {
					if (other != router) {
						state(other, server).onReport(report, requestedAtMs);
					}
				}
			});
		}
	}

	private ServerState state(int router, int server) {
		return this.routers.get(router).state(this.registrations.get(server));
	}

	private void scheduleArrival(PromptKind kind) {
		double perUs = kind.perServerAndS() * this.loadCase.servers() * this.loadCase.load() / 1e6;
		this.time.schedule((long) (-Math.log(1 - this.random.nextDouble()) / perUs), () -> {
			if (this.time.nowUs() < this.endUs) {
				arrive(kind);
				scheduleArrival(kind);
			}
		});
	}

	private void arrive(PromptKind kind) {
		double at = this.random.nextDouble() * this.shares[this.shares.length - 1];
		int router = 0;
		while (this.shares[router] < at) {
			router++;
		}
		// A square makes a few prefixes hot.
		double uniform = this.random.nextDouble();
		long prefix = 1 + (long) (uniform * uniform * kind.prefixes() * this.loadCase.servers() / 30.0)
				+ 1_000_003L * kind.sharedTokens();
		RequestDescription request = new RequestDescription(prefix * 0x9E3779B97F4A7C15L,
				kind.sharedTokens() + kind.ownTokens(), kind.sharedTokens());
		ServerState state = this.routers.get(router)
			.select("s", true, request, Set.of(), this.time.nowUs() / US_PER_MS)
			.orElseThrow();
		send(kind, prefix, request, state);
	}

	private void send(PromptKind kind, long prefix, RequestDescription request, ServerState state) {
		long sentUs = this.time.nowUs();
		boolean measured = isMeasured();
		int server = Integer.parseInt(state.server().id().substring(4));
		state.onSend(sentUs / US_PER_MS);
		ServerLoadModel.Send sent = state.model().onSend(request, sentUs / US_PER_MS);
		Runnable onFirstEvent = () -> {
			long nowUs = this.time.nowUs();
			long nowMs = nowUs / US_PER_MS;
			state.onFirstByte((nowUs - sentUs) / US_PER_MS);
			state.onBytes(nowMs);
			sent.onFirstEvent(nowMs);
			if (measured) {
				this.statistics.firstEvent((nowUs - sentUs) / (double) US_PER_MS, kind.targetMs(), sent.expectedMs());
			}
		};
		Runnable onEnd = () -> {
			state.onSuccess();
			sent.onEnd(this.time.nowUs() / US_PER_MS, kind.outputTokens() / TOKENS_PER_EVENT);
		};
		SimulatedServer.Job job = new SimulatedServer.Job(kind, prefix,
				() -> this.time.schedule(NETWORK_US, onFirstEvent), () -> this.time.schedule(NETWORK_US, onEnd), () -> {
					long nowMs = this.time.nowUs() / US_PER_MS;
					state.onFailure(nowMs);
					sent.onEnd(nowMs, 0);
				});
		this.time.schedule(NETWORK_US, () -> this.servers.get(server).submit(job));
		// The router receives events while the response runs, so the server is not
		// silent.
		state.onBytes(sentUs / US_PER_MS + 60_000);
	}

	private boolean isMeasured() {
		return this.time.nowUs() >= WARM_UP_US;
	}

	private void startWindows() {
		for (SimulatedServer server : this.servers) {
			server.takeMeanRequests(1);
			server.takePrefixReads();
		}
		this.time.schedule(WINDOW_US, this::endWindow);
	}

	private void endWindow() {
		double busiest = 0;
		double sum = 0;
		double speeds = 0;
		int full = 0;
		for (SimulatedServer server : this.servers) {
			double requests = server.takeMeanRequests(WINDOW_US);
			busiest = Math.max(busiest, requests / server.speed());
			sum += requests;
			speeds += server.speed();
			full += (requests > SimulatedServer.BATCH) ? 1 : 0;
			this.statistics.prefixReads += server.takePrefixReads();
		}
		this.statistics.window(busiest / (sum / speeds), sum / this.servers.size(),
				(double) full / this.servers.size());
		if (this.time.nowUs() < this.endUs) {
			this.time.schedule(WINDOW_US, this::endWindow);
		}
	}

}
