package io.verbenacleat.router.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.PlatformUnavailableException;
import io.verbenacleat.router.balance.LeastLoadedSelection;
import io.verbenacleat.router.balance.PermitSchedule;
import io.verbenacleat.router.balance.ServerState;
import io.verbenacleat.router.balance.ServerStates;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.log.DecisionLog;
import io.verbenacleat.router.quarantine.CrashReport;
import io.verbenacleat.router.server.BackendServer;
import io.verbenacleat.router.server.EvacuatedZones;
import io.verbenacleat.router.server.EvacuationState;
import io.verbenacleat.router.server.ServerList;
import org.jspecify.annotations.Nullable;

/**
 * Routers in virtual time with a store that names evacuated zones, each with its own
 * contact to the store and lossy calls to the others. Not safe for use by several
 * threads.
 */
final class EvacuationFleet {

	static final List<String> ZONES = List.of("a", "b", "c");

	private static final Duration STEP = Duration.ofMillis(10);

	private static final Duration CALL_TIMEOUT = Duration.ofMillis(500);

	private static final Duration LATENCY = Duration.ofMillis(1);

	/** The store answers a poll without changes after this time. */
	private static final long FEED_WAIT_MS = 1_500;

	private static final long MS = 1_000_000;

	private final ManualControlThread control = new ManualControlThread(Instant.ofEpochSecond(1_000));

	private final Random random;

	private final DecisionLog log = new DecisionLog(() -> 0);

	private final List<BackendServer> servers = ZONES.stream()
		.map((zone) -> new BackendServer("i-" + zone, 1, "s", "10.0.1.1", 80, zone, 8, "v1", false))
		.toList();

	private final List<Router> routers = new ArrayList<>();

	/** The rows by zone, including removed ones. */
	private final Map<String, EvacuationState.ZoneRow> rows = new TreeMap<>();

	private Map<String, EvacuationState.ZoneRow> copy = Map.of();

	private long era;

	private long version = 100;

	private long copiedVersion;

	private double lossRate;

	private int callCount;

	EvacuationFleet(int routerCount, long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < routerCount; i++) {
			this.routers.add(new Router(i, routerCount));
		}
	}

	List<Router> routers() {
		return List.copyOf(this.routers);
	}

	Router router(int index) {
		return this.routers.get(index);
	}

	int callCount() {
		return this.callCount;
	}

	void setLossRate(double rate) {
		this.lossRate = rate;
	}

	long nowMs() {
		return this.control.nanoTime() / MS;
	}

	/** Evacuates a zone and returns when the store acknowledged that. */
	long write(String zone) {
		return change(zone, true);
	}

	long remove(String zone) {
		return change(zone, false);
	}

	private long change(String zone, boolean evacuated) {
		this.version++;
		this.rows.put(zone, new EvacuationState.ZoneRow(zone, this.era, this.version, evacuated));
		return nowMs();
	}

	void copyStore() {
		this.copy = new TreeMap<>(this.rows);
		this.copiedVersion = this.version;
	}

	void restoreStore() {
		this.era++;
		this.version = this.copiedVersion;
		this.rows.clear();
		this.copy.forEach((zone, row) -> this.rows.put(zone,
				new EvacuationState.ZoneRow(zone, this.era, row.version(), row.evacuated())));
	}

	/** Ends a router, starts another at its address, and returns the time. */
	long restart(int index) {
		this.routers.get(index).client.close();
		this.routers.set(index, new Router(index, this.routers.size()));
		return nowMs();
	}

	void run(long durationMs) {
		for (long ms = 0; ms < durationMs; ms += STEP.toMillis()) {
			this.control.advance(STEP);
			this.routers.forEach(Router::step);
		}
	}

	long lastSendMs(String zone) {
		return this.routers.stream()
			.mapToLong((router) -> router.sends(zone).stream().mapToLong(Long::longValue).max().orElse(0))
			.max()
			.orElse(0);
	}

	int sendersSince(String zone, long sinceMs) {
		return (int) this.routers.stream().filter((router) -> router.sendsSince(zone, sinceMs) > 0).count();
	}

	private static String address(int index) {
		return "10.0.0." + (index + 1) + ":1";
	}

	final class Router implements FleetView, PeerCalls {

		private final String address;

		private final PeerClient client;

		private final ServerStates states;

		private final Map<String, List<Long>> sendTimesMs = new TreeMap<>();

		private EvacuatedZones zones = new EvacuatedZones(EvacuationFleet.this.log, (published) -> publish());

		private boolean older;

		private boolean storeReachable = true;

		private boolean serversKnown;

		private long serversConfirmedAtMs;

		private long confirmedAtMs = -1;

		private long readEra = -1;

		private long tableVersion;

		private long readVersion;

		private Router(int index, int routerCount) {
			this.address = address(index);
			LeastLoadedSelection policy = new LeastLoadedSelection(EvacuationFleet.this.random::nextDouble);
			this.states = new ServerStates(ZONES.get(0), policy, policy,
					new PermitSchedule(() -> PermitSchedule.UNKNOWN_TIME_MS));
			List<String> others = new ArrayList<>();
			for (int i = 0; i < routerCount; i++) {
				others.add(address(i));
			}
			this.client = new PeerClient(this.address,
					new PeerDirectory(this.address, others, new Random(EvacuationFleet.this.random.nextLong())), this,
					EvacuationFleet.this.control, EvacuationFleet.this.log);
			this.client.start(this);
		}

		void setStoreReachable(boolean reachable) {
			this.storeReachable = reachable;
		}

		/** Lets the router ignore evacuations like a program that does not know them. */
		void setOlder() {
			this.older = true;
		}

		/** Makes the router one that missed all evacuations. */
		void forgetEvacuations() {
			this.zones = new EvacuatedZones(EvacuationFleet.this.log, (published) -> publish());
			publish();
		}

		boolean hasServers() {
			return this.serversKnown;
		}

		boolean refusesForEvacuation() {
			return this.states.isEvacuated("s");
		}

		List<Long> sends(String zone) {
			return this.older ? List.of() : this.sendTimesMs.getOrDefault(zone, List.of());
		}

		long sendsSince(String zone, long sinceMs) {
			return sends(zone).stream().filter((atMs) -> atMs >= sinceMs).count();
		}

		private void step() {
			if (this.storeReachable) {
				readStore();
			}
			Optional<ServerState> selected = this.states.select("s", false, 0, Set.of(), nowMs());
			selected.ifPresent(
					(state) -> this.sendTimesMs.computeIfAbsent(state.server().zone(), (any) -> new ArrayList<>())
						.add(nowMs()));
		}

		private void readStore() {
			boolean wholeTable = this.readEra != EvacuationFleet.this.era;
			boolean changed = wholeTable || this.readVersion != EvacuationFleet.this.version;
			if (!changed && nowMs() - this.confirmedAtMs < FEED_WAIT_MS) {
				return;
			}
			this.readEra = EvacuationFleet.this.era;
			this.readVersion = EvacuationFleet.this.version;
			this.tableVersion = wholeTable ? this.readVersion : this.tableVersion;
			this.confirmedAtMs = nowMs();
			this.serversConfirmedAtMs = nowMs();
			List<EvacuationState.ZoneRow> read = EvacuationFleet.this.rows.values()
				.stream()
				.filter((row) -> row.evacuated() || row.version() > this.tableVersion)
				.toList();
			EvacuationState state = new EvacuationState(Map.of(this.readEra, this.readVersion), read);
			if (!this.older && this.zones.onStoreRead(state)) {
				this.client.spreadEvacuations();
			}
			if (!this.serversKnown) {
				this.serversKnown = true;
				publish();
			}
		}

		private void publish() {
			if (this.serversKnown) {
				this.states.update(ServerList.of(EvacuationFleet.this.servers).withEvacuated(this.zones.zones()));
			}
		}

		@Override
		public @Nullable RoutingTable configuration() {
			return null;
		}

		@Override
		public Collection<BackendServer> servers() {
			return this.serversKnown ? EvacuationFleet.this.servers : List.of();
		}

		@Override
		public long serversAgeMs() {
			return this.serversKnown ? nowMs() - this.serversConfirmedAtMs : Long.MAX_VALUE;
		}

		@Override
		public EvacuationState evacuations() {
			return this.zones.state();
		}

		@Override
		public long evacuationsAgeMs() {
			return (this.confirmedAtMs >= 0) ? nowMs() - this.confirmedAtMs : Long.MAX_VALUE;
		}

		@Override
		public void applyEvacuations(EvacuationState received, String peer) {
			if (!this.older && this.zones.onPeerState(received, peer)) {
				this.client.spreadEvacuations();
			}
		}

		@Override
		public List<CrashReport> crashReports() {
			return List.of();
		}

		@Override
		public void applyCrashReports(List<CrashReport> reports) {
		}

		@Override
		public void applyConfiguration(RoutingTable configuration) {
		}

		@Override
		public void applyServers(Collection<BackendServer> received, long ageMs) {
			this.serversKnown = true;
			this.serversConfirmedAtMs = nowMs() - ageMs;
			publish();
		}

		@Override
		public CompletableFuture<FleetSnapshot> fetchSnapshot(String address, FleetSnapshot.Request request) {
			EvacuationFleet.this.callCount++;
			CompletableFuture<FleetSnapshot> result = new CompletableFuture<>();
			EvacuationFleet.this.control.schedule(CALL_TIMEOUT,
					() -> result.completeExceptionally(new PlatformUnavailableException("timeout", null)));
			if (EvacuationFleet.this.random.nextDouble() >= EvacuationFleet.this.lossRate) {
				EvacuationFleet.this.control.schedule(LATENCY, () -> {
					Optional<Router> target = EvacuationFleet.this.routers.stream()
						.filter((router) -> router.address.equals(address))
						.findFirst();
					result.complete(target.orElseThrow().respond(Json.write(request)));
				});
			}
			return result;
		}

		private FleetSnapshot respond(String request) {
			try {
				FleetSnapshot snapshot = PeerRequestHandler.respond(this, this.client,
						Json.read(request, FleetSnapshot.Request.class));
				return Json.read(Json.write(snapshot), FleetSnapshot.class);
			}
			catch (JsonFormatException ex) {
				throw new IllegalStateException(ex);
			}
		}

		@Override
		public CompletableFuture<Map<String, Long>> borrow(String address, BorrowRequest request) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<Boolean> transfer(String address, Map<String, Long> tokens) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<Grants> announce(String address, Grants grants) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<CrashReports> report(String address, CrashReports reports) {
			return new CompletableFuture<>();
		}

	}

}
