package io.verbenacleat.router.stream;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.platform.PlatformUnavailableException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WriteOutcome;
import io.verbenacleat.router.budget.RestorableStore;
import io.verbenacleat.router.budget.StoreClock;
import io.verbenacleat.router.budget.StoreEra;
import io.verbenacleat.router.config.CallerLimits;
import io.verbenacleat.router.config.RequestKind;
import io.verbenacleat.router.config.Route;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.config.Service;
import io.verbenacleat.router.log.DecisionLog;
import io.verbenacleat.router.server.BackendServer;
import io.verbenacleat.router.server.ServerList;
import org.jspecify.annotations.Nullable;

/**
 * Routers before model servers of several software versions, and callers who resume
 * streams that break off at any router, in virtual time.
 */
final class StreamFleet {

	/** Routers are in touch after this time without disruption. */
	static final long STABLE_MS = 3_000;

	private static final String SERVICE = "s";

	private static final String WORKSPACE = "w";

	private static final long TIMEOUT_MS = 5_000;

	private static final Duration STEP = Duration.ofMillis(5);

	private static final double MS_PER_SECOND = 1_000;

	private static final Duration STORE_DELAY = Duration.ofMillis(4);

	private static final int MAX_LIST_DELAY_MS = 200;

	private static final int MIN_FIRST_EVENT_MS = 50;

	private static final int MAX_FIRST_EVENT_MS = 400;

	private static final int MAX_STREAM_MS = 1_500;

	/** Servers go on for this time after their registration has gone. */
	private static final Duration DRAIN_TIME = Duration.ofSeconds(3);

	private static final int MAX_RESUMPTIONS = 3;

	private static final double SHED_RATIO = 0.1;

	final ManualControlThread control = new ManualControlThread(Instant.ofEpochSecond(1_000_000));

	final Random random;

	final RestorableStore store = new RestorableStore(this.control::nanoTime);

	final List<Router> routers = new ArrayList<>();

	final List<Server> servers = new ArrayList<>();

	/** The time until the store performs a write. */
	Duration writeDelay = STORE_DELAY;

	/** The share of streams that break off by themselves. */
	double breakRatio = 0.1;

	int begun;

	/** Streams with events of several versions. */
	int joined;

	/** Tries to resume a stream of a version with two servers at a router in touch. */
	int resumable;

	/** Those of them that went on. */
	int resumed;

	private final Set<Stream> running = new LinkedHashSet<>();

	private int serverCount;

	private int streamCount;

	private double due;

	private int lastVersion = 1;

	StreamFleet(int routers, int servers, long seed) {
		this.random = new Random(seed);
		addServers(servers, "v1");
		for (int i = 0; i < routers; i++) {
			this.routers.add(new Router(true));
		}
		run(Duration.ofSeconds(4), 0);
	}

	void run(Duration duration, double streamsPerS) {
		long endMs = nowMs() + duration.toMillis();
		while (nowMs() < endMs) {
			this.control.advance(STEP);
			this.due += streamsPerS * STEP.toMillis() / MS_PER_SECOND;
			while (this.due >= 1) {
				this.due--;
				Router router = this.routers.get(this.random.nextInt(this.routers.size()));
				if (router.alive) {
					router.thread.runOrDefer(new Stream(router)::begin);
				}
			}
		}
	}

	/**
	 * Replaces servers by new ones of the next version. The new ones start first.
	 * @param share the share of the servers
	 */
	void release(double share) {
		int count = Math.max(1, (int) (share * this.servers.size()));
		List<Server> old = List.copyOf(this.servers.subList(0, count));
		startNextVersion(count);
		this.control.schedule(Duration.ofMillis(300), () -> remove(old));
	}

	/**
	 * Adds servers of the next version.
	 * @param count the count
	 * @return the servers
	 */
	List<Server> startNextVersion(int count) {
		this.lastVersion++;
		addServers(count, "v" + this.lastVersion);
		return List.copyOf(this.servers.subList(this.servers.size() - count, this.servers.size()));
	}

	/**
	 * Lets all routers lose power, with all streams.
	 * @param darkTime the time until they start again
	 */
	void losePower(Duration darkTime) {
		this.routers.forEach(Router::end);
		this.control.schedule(darkTime, () -> this.routers.forEach(Router::start));
	}

	void setStoreAvailable(boolean available) {
		this.store.setAvailable(available);
		this.routers.forEach(Router::disturb);
	}

	void restoreStore(Duration age) {
		this.store.restore(age);
		this.routers.forEach(Router::disturb);
	}

	void write(String key, String json) {
		long version = this.store.read(key).join().version();
		this.store.transact(Transaction.builder().putIf(key, version, json).build()).join();
	}

	int storedStreams() {
		return this.store.scan(OriginRecords.PREFIX, "", 1_000).join().size();
	}

	long nowMs() {
		return Duration.ofNanos(this.control.nanoTime()).toMillis();
	}

	private void addServers(int count, String version) {
		for (int i = 0; i < count; i++) {
			this.servers.add(new Server("i-" + this.serverCount++, version));
		}
		this.routers.forEach(Router::learnServers);
	}

	/**
	 * Lets servers leave. They go on for a short time.
	 * @param old the servers
	 */
	void remove(List<Server> old) {
		this.servers.removeAll(old);
		this.routers.forEach(Router::learnServers);
		this.control.schedule(DRAIN_TIME, () -> old.forEach(Server::end));
	}

	private int between(int min, int max) {
		return min + this.random.nextInt(max - min);
	}

	final class Server {

		private final BackendServer registration;

		private boolean alive = true;

		private Server(String id, String version) {
			this.registration = new BackendServer(id, 1, SERVICE, "127.0.0.1", 1, "z", 8, version, false);
		}

		String version() {
			return this.registration.softwareVersion();
		}

		private void end() {
			this.alive = false;
			List.copyOf(StreamFleet.this.running)
				.stream()
				.filter((stream) -> stream.server == this)
				.forEach(Stream::breakOff);
		}

	}

	final class Router {

		private final StallingControlThread thread = new StallingControlThread(StreamFleet.this.control);

		boolean alive;

		private boolean storeReachable = true;

		private int incarnation;

		private StreamOrigins origins;

		private List<Server> listed = List.of();

		private long calmSinceMs;

		private long era = StoreEra.UNKNOWN;

		private Router(boolean firstStart) {
			this.origins = create(firstStart);
			this.alive = true;
			learnServers();
		}

		private StreamOrigins create(boolean firstStart) {
			StreamOrigins created = new StreamOrigins(new StoreLink(this), new VirtualClock(), () -> this.era,
					this.thread, new DecisionLog(() -> 0), StreamFleet.this.random, firstStart);
			Route route = Route.builder("r", "h", "/r/")
				.kind(RequestKind.RESUMABLE_STREAM)
				.timing(TIMEOUT_MS, 300)
				.target(SERVICE, 1)
				.build();
			created.configure(new RoutingTable(1, List.of(route), List.of(new Service(SERVICE, 100, true, 4)),
					List.of(), new CallerLimits(1, 1, 1, 1)));
			created.setRouterCount(StreamFleet.this.routers.size());
			return created;
		}

		void end() {
			if (this.alive) {
				this.alive = false;
				this.incarnation++;
				this.origins.close();
				List.copyOf(StreamFleet.this.running)
					.stream()
					.filter((stream) -> stream.router == this)
					.forEach(Stream::breakOff);
			}
		}

		void start() {
			if (!this.alive) {
				this.alive = true;
				this.era = StoreEra.UNKNOWN;
				this.listed = List.of();
				this.origins = create(false);
				disturb();
				learnServers();
			}
		}

		void reachStore(boolean reachable) {
			this.storeReachable = reachable;
			disturb();
			learnServers();
		}

		/**
		 * Lets the process stand still. What is due meanwhile runs afterwards.
		 * @param duration the duration
		 */
		void standStill(Duration duration) {
			this.thread.standStill();
			StreamFleet.this.control.schedule(duration, () -> {
				disturb();
				this.thread.goOn();
			});
			disturb();
		}

		private void disturb() {
			this.calmSinceMs = nowMs();
		}

		StreamOrigins origins() {
			return this.origins;
		}

		private boolean isInTouch() {
			return this.storeReachable && nowMs() - this.calmSinceMs >= STABLE_MS;
		}

		private void learnServers() {
			int current = this.incarnation;
			this.thread.schedule(Duration.ofMillis(StreamFleet.this.random.nextInt(MAX_LIST_DELAY_MS)), () -> {
				if (this.alive && this.storeReachable && current == this.incarnation) {
					this.era = StreamFleet.this.store.era();
					this.listed = List.copyOf(StreamFleet.this.servers);
					this.origins.updateServers(
							ServerList.of(this.listed.stream().map((server) -> server.registration).toList()));
				}
			});
		}

	}

	/**
	 * One stream over all tries of its caller.
	 */
	private final class Stream {

		private final String id = "a" + StreamFleet.this.streamCount++;

		private final Set<Server> tried = new HashSet<>();

		private Router router;

		private @Nullable Server server;

		/** The version of the first event, empty before it. */
		private String version = "";

		/** Counts the sends, so that events of an earlier one are ignored. */
		private int send;

		private int resumptions;

		private Stream(Router router) {
			this.router = router;
		}

		// As RelayedRequest selects servers.
		private void begin() {
			List<Server> untried = this.router.listed.stream()
				.filter((candidate) -> !this.tried.contains(candidate))
				.toList();
			List<Server> shared = untried.stream()
				.filter((candidate) -> this.router.origins.isShared(SERVICE, candidate.version()))
				.toList();
			List<Server> candidates = shared.isEmpty() ? untried : shared;
			if (candidates.isEmpty()) {
				return;
			}
			Server selected = candidates.get(StreamFleet.this.random.nextInt(candidates.size()));
			this.tried.add(selected);
			StreamOrigin origin = new StreamOrigin(SERVICE, selected.version(), WORKSPACE);
			if (this.router.origins.begin(this.id, origin, TIMEOUT_MS)) {
				send(selected);
				return;
			}
			Router current = this.router;
			int incarnation = current.incarnation;
			current.origins.replace(this.id, origin, current.thread, (replaced) -> {
				if (replaced && incarnation == current.incarnation) {
					send(selected);
				}
			});
		}

		private void send(Server selected) {
			boolean shed = this.version.isEmpty() && StreamFleet.this.random.nextDouble() < SHED_RATIO;
			if (!selected.alive || shed) {
				begin();
				return;
			}
			this.server = selected;
			this.send++;
			StreamFleet.this.running.add(this);
			int current = this.send;
			schedule(between(MIN_FIRST_EVENT_MS, MAX_FIRST_EVENT_MS), () -> onEvent(current));
		}

		private void onEvent(int current) {
			Server writer = this.server;
			if (current != this.send || !StreamFleet.this.running.contains(this) || writer == null) {
				return;
			}
			if (this.version.isEmpty()) {
				this.version = writer.version();
				StreamFleet.this.begun++;
			}
			else if (!this.version.equals(writer.version())) {
				StreamFleet.this.joined++;
			}
			boolean breaks = StreamFleet.this.random.nextDouble() < StreamFleet.this.breakRatio;
			schedule(between(1, MAX_STREAM_MS), () -> {
				if (current == this.send && StreamFleet.this.running.contains(this)) {
					if (breaks) {
						breakOff();
					}
					else {
						StreamFleet.this.running.remove(this);
					}
				}
			});
		}

		private void breakOff() {
			StreamFleet.this.running.remove(this);
			if (!this.version.isEmpty()) {
				resumeLater();
			}
		}

		private void resumeLater() {
			if (this.resumptions++ < MAX_RESUMPTIONS) {
				schedule(between(20, 1_200), this::resume);
			}
		}

		private void resume() {
			Router chosen = StreamFleet.this.routers
				.get(StreamFleet.this.random.nextInt(StreamFleet.this.routers.size()));
			if (!chosen.alive) {
				resumeLater();
				return;
			}
			this.router = chosen;
			long serving = StreamFleet.this.servers.stream()
				.filter((candidate) -> candidate.version().equals(this.version))
				.count();
			boolean counted = chosen.isInTouch() && serving >= 2;
			StreamFleet.this.resumable += counted ? 1 : 0;
			int incarnation = chosen.incarnation;
			chosen.thread.runOrDefer(() -> resumeAt(chosen, incarnation, counted));
		}

		private void resumeAt(Router chosen, int incarnation, boolean counted) {
			chosen.origins.find(this.id, SERVICE, WORKSPACE, chosen.thread, (lookup) -> {
				List<Server> suitable = chosen.listed.stream()
					.filter((candidate) -> candidate.alive && candidate.version().equals(lookup.version()))
					.toList();
				if (incarnation != chosen.incarnation || !lookup.isKnown() || suitable.isEmpty()) {
					resumeLater();
					return;
				}
				StreamFleet.this.resumed += counted ? 1 : 0;
				send(suitable.get(StreamFleet.this.random.nextInt(suitable.size())));
			});
		}

		private void schedule(int delayMs, Runnable task) {
			StreamFleet.this.control.schedule(Duration.ofMillis(delayMs), task);
		}

	}

	/**
	 * The store as one router reaches it.
	 */
	private final class StoreLink implements TableStore {

		private final Router router;

		private StoreLink(Router router) {
			this.router = router;
		}

		@Override
		public CompletableFuture<List<Row>> read(List<String> keys) {
			return this.router.storeReachable ? delayed(StreamFleet.this.store.read(keys)) : unreachable();
		}

		@Override
		public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
			return this.router.storeReachable ? delayed(StreamFleet.this.store.scan(prefix, after, limit))
					: unreachable();
		}

		// A write of a router that loses power at the same moment is lost.
		@Override
		public CompletableFuture<WriteOutcome> transact(Transaction transaction) {
			CompletableFuture<WriteOutcome> later = new CompletableFuture<>();
			int current = this.router.incarnation;
			StreamFleet.this.control.schedule(StreamFleet.this.writeDelay, () -> {
				if (!this.router.storeReachable || current != this.router.incarnation) {
					later.complete(new WriteOutcome.Unknown(failure()));
					return;
				}
				WriteOutcome outcome = StreamFleet.this.store.transact(transaction).join();
				if (!(outcome instanceof WriteOutcome.NotApplied)) {
					this.router.era = StreamFleet.this.store.era();
				}
				later.complete(outcome);
			});
			return later;
		}

		private <T> CompletableFuture<T> delayed(CompletableFuture<T> result) {
			CompletableFuture<T> later = new CompletableFuture<>();
			StreamFleet.this.control.schedule(STORE_DELAY, () -> result.whenComplete((value, failure) -> {
				if (failure != null) {
					later.completeExceptionally(failure);
				}
				else {
					this.router.era = StreamFleet.this.store.era();
					later.complete(value);
				}
			}));
			return later;
		}

		private static <T> CompletableFuture<T> unreachable() {
			return CompletableFuture.failedFuture(failure());
		}

		private static PlatformUnavailableException failure() {
			return new PlatformUnavailableException("The store is unreachable", null);
		}

	}

	private final class VirtualClock implements StoreClock {

		@Override
		public long earliestMs() {
			return nowMs();
		}

		@Override
		public long latestMs() {
			return nowMs() + 1;
		}

	}

}
