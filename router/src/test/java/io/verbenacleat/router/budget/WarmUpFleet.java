package io.verbenacleat.router.budget;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.router.balance.FleetMembers;
import io.verbenacleat.router.balance.FleetPosition;
import io.verbenacleat.router.balance.LeastLoadedSelection;
import io.verbenacleat.router.balance.PermitSchedule;
import io.verbenacleat.router.balance.ServerState;
import io.verbenacleat.router.balance.ServerStates;
import io.verbenacleat.router.balance.WarmUpLimit;
import io.verbenacleat.router.config.CallerLimits;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.log.DecisionLog;
import io.verbenacleat.router.server.BackendServer;
import io.verbenacleat.router.server.ServerDirectory;
import io.verbenacleat.router.server.ServerList;
import io.verbenacleat.router.server.WarmUpNotice;

/**
 * Routers on one store that send requests to backend servers which warm up, in virtual
 * time. Each server counts the requests that were sent and received within any second.
 */
final class WarmUpFleet {

	/** All routers know of a warm-up after this time: renewal and delivery of a row. */
	static final int NOTICE_TIME_MS = 2_000;

	private static final int RENEWAL_MS = 1_200;

	private static final int MAX_DELIVERY_MS = 800;

	private static final int WINDOW_MS = 1_000;

	private static final int STEP_MS = 10;

	private static final int MAX_LATENCY_MS = 300;

	/** A slow store responds within this time. */
	private static final int MAX_CLOCK_ERROR_MS = 240;

	private final ManualControlThread control = new ManualControlThread(Instant.ofEpochSecond(1_000_000));

	final List<Router> routers = new ArrayList<>();

	final List<Server> servers = new ArrayList<>();

	final Random random;

	private final WarmUpLimit limit;

	private final InMemoryTableStore store = new InMemoryTableStore();

	private final Queue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atMs));

	/** Added to the clock of the store. */
	private long storeClockJumpMs;

	private long nextEventNumber;

	WarmUpFleet(int routers, int servers, WarmUpLimit limit, long seed) {
		this.random = new Random(seed);
		this.limit = limit;
		for (int i = 0; i < servers; i++) {
			this.servers.add(new Server("i-" + i));
		}
		addRouters(routers);
	}

	void addRouters(int count) {
		for (int i = 0; i < count; i++) {
			Router router = new Router("10.0.0." + this.routers.size() + ":1");
			this.routers.add(router);
			router.start();
		}
	}

	/**
	 * Lets each running router receive requests at random times.
	 * @param duration the duration
	 * @param requestsPerS the mean rate of one router
	 */
	void run(Duration duration, double requestsPerS) {
		long endMs = nowMs() + duration.toMillis();
		while (nowMs() < endMs) {
			this.control.advance(Duration.ofMillis(STEP_MS));
			while (!this.events.isEmpty() && this.events.peek().atMs() <= nowMs()) {
				this.events.remove().action().run();
			}
			for (Server server : this.servers) {
				server.renewIfDue();
			}
			for (Router router : this.routers) {
				if (router.alive) {
					router.step(requestsPerS * STEP_MS / WINDOW_MS);
				}
			}
		}
	}

	/**
	 * Lets the store come back with another time.
	 * @param jumpMs the difference in milliseconds
	 * @param atOnce whether all routers read it at the same time
	 */
	void jumpStoreClock(long jumpMs, boolean atOnce) {
		this.storeClockJumpMs += jumpMs;
		if (atOnce) {
			this.routers.forEach(Router::sampleClock);
		}
	}

	/**
	 * Returns the most requests that a server received within a second while it warmed
	 * up.
	 * @return the maximum of all servers
	 */
	int maxRequestsInASecond() {
		return this.servers.stream().mapToInt((server) -> server.maxInWindow).max().orElse(0);
	}

	private void after(long delayMs, Runnable action) {
		this.events.add(new Event(nowMs() + delayMs, this.nextEventNumber++, action));
	}

	private long nowMs() {
		return Duration.ofNanos(this.control.nanoTime()).toMillis();
	}

	/**
	 * A backend server that renews its registration.
	 */
	final class Server {

		private final String id;

		private final Deque<Arrival> arrivals = new ArrayDeque<>();

		private int incarnation = 1;

		private long warmsUpUntilMs;

		/** Requests that were sent before the routers could know are not counted. */
		private long countedFromMs;

		private long renewalAtMs;

		private boolean silent;

		private int maxInWindow;

		int served;

		private Server(String id) {
			this.id = id;
		}

		/**
		 * Starts anew and warms up. Routers send nothing before they know the new
		 * incarnation.
		 * @param durationMs the length of the warm-up in milliseconds
		 * @param stated whether the registration states it
		 */
		void restart(long durationMs, boolean stated) {
			this.incarnation++;
			this.silent = !stated;
			this.warmsUpUntilMs = nowMs() + durationMs;
			this.countedFromMs = nowMs();
			this.renewalAtMs = nowMs();
			this.arrivals.clear();
		}

		/**
		 * Warms up without a restart, which the next registration states.
		 * @param durationMs the length of the warm-up in milliseconds
		 */
		void warmUpAgain(long durationMs) {
			this.silent = false;
			this.warmsUpUntilMs = nowMs() + durationMs;
			this.countedFromMs = nowMs() + NOTICE_TIME_MS;
			this.arrivals.clear();
		}

		private BackendServer registration() {
			WarmUpNotice notice = (!this.silent) ? WarmUpNotice.received(Math.max(0, this.warmsUpUntilMs - nowMs()))
					: null;
			return new BackendServer(this.id, this.incarnation, "s", "127.0.0.1", 1, "z", 8, "v1", false, notice);
		}

		private void renewIfDue() {
			if (nowMs() < this.renewalAtMs) {
				return;
			}
			this.renewalAtMs = nowMs() + RENEWAL_MS;
			BackendServer written = registration();
			for (Router router : WarmUpFleet.this.routers) {
				after(WarmUpFleet.this.random.nextInt(MAX_DELIVERY_MS), () -> router.receive(written));
			}
		}

		private void onRequest(BackendServer target, long sentAtMs) {
			if (target.startedAtMs() != this.incarnation) {
				return;
			}
			this.served++;
			if (nowMs() >= this.warmsUpUntilMs || sentAtMs < this.countedFromMs) {
				return;
			}
			long beginMs = nowMs() - WINDOW_MS;
			this.arrivals.add(new Arrival(sentAtMs, nowMs()));
			this.arrivals.removeIf((arrival) -> arrival.sentAtMs() <= beginMs);
			this.maxInWindow = Math.max(this.maxInWindow, this.arrivals.size());
		}

	}

	/**
	 * One router, whose process may be lost and restarted.
	 */
	final class Router {

		final FaultyStore store = new FaultyStore(WarmUpFleet.this.store);

		private final String address;

		/**
		 * The newest registration of each server that arrived, also without a process.
		 */
		private final Map<String, BackendServer> rows = new HashMap<>();

		private int incarnationCount;

		/** The bounds of the clock lie this far before and after its time. */
		private int behindMs;

		private int aheadMs;

		private long seenClockJumpMs;

		/**
		 * Requests leave the host after this time, and all together if it changes to 0.
		 */
		private boolean linkHeld;

		private final List<Runnable> held = new ArrayList<>();

		private PermitSchedule permits = newPermits();

		private ServerStates states = newStates();

		private ServerDirectory directory = newDirectory();

		private AutoCloseable process = () -> {
		};

		private boolean alive;

		private boolean cutOff;

		private int refused;

		private Router(String address) {
			this.address = address;
			sampleClock();
		}

		/**
		 * Starts a process that knows neither the other routers nor earlier requests.
		 */
		void start() {
			this.incarnationCount++;
			this.permits = newPermits();
			this.states = newStates();
			this.directory = newDirectory();
			this.alive = true;
			ManualControlThread control = WarmUpFleet.this.control;
			DecisionLog log = new DecisionLog(() -> 0);
			PrepaidLedger.Identity identity = new PrepaidLedger.Identity(this.address, "",
					this.address + "/" + this.incarnationCount, control.nanoTime(), this.incarnationCount == 1, 0);
			StoreClock clock = new BoundedClock();
			PrepaidLedger ledger = new PrepaidLedger(identity, this.store, clock, this.store, TokenPeers.none(),
					control, log, new PrometheusRegistry());
			PermitSchedule schedule = this.permits;
			RouterDiscovery discovery = new RouterDiscovery(identity, this.store, clock, control, log,
					new RouterDiscovery.Listener() {

						@Override
						public void onRouters(List<FleetRouter> routers, FleetPosition position) {
							schedule.setPosition(position);
						}

						@Override
						public void onMembers(FleetMembers members) {
							schedule.setMembers(members);
						}

					});
			ledger.configure(
					new RoutingTable(1, List.of(), List.of(), List.of(), new CallerLimits(1_000, 1_000, 1_000, 1_000)));
			this.process = () -> {
				discovery.close();
				ledger.close();
			};
			if (this.incarnationCount > 1) {
				// The first list has what was written last.
				Map<String, BackendServer> found = new HashMap<>();
				WarmUpFleet.this.servers.forEach((server) -> found.put(server.id, server.registration()));
				this.directory.replaceAll(found, false);
			}
		}

		void kill() {
			this.alive = false;
			try {
				this.process.close();
			}
			catch (Exception ex) {
				throw new IllegalStateException(ex);
			}
		}

		void restart() {
			kill();
			start();
		}

		/**
		 * Separates the router from the store, or ends that.
		 * @param separated whether calls of the store fail
		 */
		void setCutOff(boolean separated) {
			this.cutOff = separated;
			this.store.setFault(separated ? FaultyStore.Fault.UNREACHABLE : FaultyStore.Fault.NONE);
		}

		/**
		 * Holds the requests back on their way, or lets all that are held arrive at once.
		 * @param isHeld whether requests are held
		 */
		void holdLink(boolean isHeld) {
			this.linkHeld = isHeld;
			if (!isHeld) {
				this.held.forEach(Runnable::run);
				this.held.clear();
			}
		}

		int refused() {
			return this.refused;
		}

		private void receive(BackendServer written) {
			if (this.cutOff || !this.alive) {
				return;
			}
			BackendServer known = this.rows.get(written.id());
			if (known == null || known.startedAtMs() <= written.startedAtMs()) {
				this.rows.put(written.id(), written);
				this.directory.update(written.id(), written, false);
			}
		}

		private void step(double requests) {
			if (!this.cutOff && WarmUpFleet.this.random.nextInt(100) == 0) {
				sampleClock();
			}
			this.states.findWarmUpChanges(nowMs());
			if (WarmUpFleet.this.random.nextDouble() < requests) {
				request();
			}
		}

		private void request() {
			long nowMs = nowMs();
			ServerState state = this.states.select("s", false, 0, Set.of(), nowMs).orElse(null);
			if (state == null || !state.takePermit(nowMs)) {
				this.refused++;
				return;
			}
			state.onSend(nowMs);
			BackendServer target = state.server();
			Server server = WarmUpFleet.this.servers.stream()
				.filter((candidate) -> candidate.id.equals(target.id()))
				.findFirst()
				.orElseThrow();
			Runnable arrival = () -> server.onRequest(target, nowMs);
			if (this.linkHeld) {
				this.held.add(arrival);
			}
			else {
				arrival.run();
			}
			after(1 + WarmUpFleet.this.random.nextInt(MAX_LATENCY_MS), state::onSuccess);
		}

		private void sampleClock() {
			this.behindMs = WarmUpFleet.this.random.nextInt(MAX_CLOCK_ERROR_MS / 2);
			this.aheadMs = WarmUpFleet.this.random.nextInt(MAX_CLOCK_ERROR_MS / 2);
			this.seenClockJumpMs = WarmUpFleet.this.storeClockJumpMs;
		}

		private PermitSchedule newPermits() {
			StoreClock clock = new BoundedClock();
			return new PermitSchedule(clock::earliestMs, clock::latestMs);
		}

		private ServerStates newStates() {
			LeastLoadedSelection selection = new LeastLoadedSelection(WarmUpFleet.this.random::nextDouble);
			ServerStates newStates = new ServerStates("z", selection, selection, this.permits);
			newStates.setWarmUpLimits(Map.of("s", WarmUpFleet.this.limit));
			return newStates;
		}

		private ServerDirectory newDirectory() {
			ServerStates target = this.states;
			return new ServerDirectory(WarmUpFleet.this.control, new DecisionLog(() -> 0), (ServerList list) -> {
				target.update(list);
				target.applyWarmUps(nowMs());
			}, () -> {
			}, Duration.ofMillis(1_200));
		}

		private final class BoundedClock implements StoreClock {

			@Override
			public long earliestMs() {
				return nowMs() + Router.this.seenClockJumpMs - Router.this.behindMs;
			}

			@Override
			public long latestMs() {
				return nowMs() + Router.this.seenClockJumpMs + Router.this.aheadMs + 1;
			}

		}

	}

	private record Arrival(long sentAtMs, long receivedAtMs) {
	}

	private record Event(long atMs, long number, Runnable action) {
	}

}
