package io.verbenacleat.router.stream;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.hash.Hashing;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.router.ControlTicker;
import io.verbenacleat.router.budget.StoreClock;
import io.verbenacleat.router.budget.StoreEra;
import io.verbenacleat.router.config.RequestKind;
import io.verbenacleat.router.config.Route;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.config.WeightedTarget;
import io.verbenacleat.router.log.DecisionLog;
import io.verbenacleat.router.server.ServerList;
import org.jspecify.annotations.Nullable;

/**
 * Remembers at which software version each resumable stream was begun, and finds it for
 * requests that resume one. Safe for use by several threads.
 * <p>
 * A router knows the streams that it began. Those of other routers, and of processes that
 * have ended, are recorded in the store while streams of several versions may exist. With
 * one version nothing is written: the history of versions then tells the only one that
 * may have begun a stream. A stream whose version is uncertain is not resumed.
 * <p>
 * Use: {@link #begin} before a new stream is sent, and {@link #find} before one is
 * resumed.
 */
public final class StreamOrigins implements AutoCloseable {

	/**
	 * Added to the longest timeout of a resumable stream. A router that has lost the
	 * store may begin streams at a version that has left for this time.
	 */
	static final Duration STALE_LIST_TIME = Duration.ofSeconds(60);

	/** Well below the time in which a caller expects the first event. */
	static final Duration LOOKUP_TIMEOUT = Duration.ofMillis(400);

	/** All routers in touch know a new version by then. */
	private static final Duration SETTLING_TIME = Duration.ofMillis(500);

	private static final Duration SETTLING_DELAY = Duration.ofMillis(250);

	/** A caller may resume a stream a few times, each for the timeout of the route. */
	private static final int TIMEOUTS_PER_STREAM = 2;

	/** Bounds the memory; an entry takes about 300 bytes. */
	private static final int MAX_STREAMS = 32_768;

	private static final int MAX_ID_LENGTH = 64;

	private final ControlThread control;

	private final StoreClock clock;

	private final StoreEra era;

	private final VersionTracker versions;

	private final OriginRecords records;

	private final Cache<String, Begun> streams;

	private volatile Set<String> services = Set.of();

	private @Nullable ServerList servers;

	private long recordedEra = StoreEra.UNKNOWN;

	/**
	 * Creates an instance without streams.
	 * @param store the table service
	 * @param clock the clock of the store
	 * @param era the era of the store
	 * @param control the control thread
	 * @param log receives a line for each change of versions
	 * @param random spreads the calls of many routers
	 * @param firstStart whether the whole fleet starts for the first time
	 */
	public StreamOrigins(TableStore store, StoreClock clock, StoreEra era, ControlThread control, DecisionLog log,
			RandomGenerator random, boolean firstStart) {
		this.control = control;
		this.clock = clock;
		this.era = era;
		this.versions = new VersionTracker(store, clock, era, control, log, random, firstStart,
				this::recordKnownStreams);
		this.records = new OriginRecords(store, clock, era, control, log, random);
		this.streams = CacheBuilder.newBuilder()
			.maximumSize(MAX_STREAMS)
			.expireAfterWrite(STALE_LIST_TIME.multipliedBy(2))
			.ticker(new ControlTicker(control))
			.build();
		setHorizon(STALE_LIST_TIME);
	}

	@Override
	public void close() {
		this.versions.close();
		this.records.close();
	}

	/**
	 * Applies a configuration; must be called on the control thread.
	 * @param table the configuration
	 */
	public void configure(RoutingTable table) {
		Set<String> names = new TreeSet<>();
		long timeoutMs = 0;
		for (Route route : table.routes()) {
			if (route.kind() == RequestKind.RESUMABLE_STREAM) {
				route.targets().stream().map(WeightedTarget::service).forEach(names::add);
				timeoutMs = Math.max(timeoutMs, route.timeoutMs());
			}
		}
		this.services = Set.copyOf(names);
		setHorizon(STALE_LIST_TIME.plusMillis(timeoutMs));
		ServerList current = this.servers;
		if (current != null) {
			updateServers(current);
		}
	}

	private void setHorizon(Duration horizon) {
		this.versions.setHorizon(horizon);
		this.records.setRetention(horizon);
	}

	/**
	 * Applies a list of servers; must be called on the control thread.
	 * @param list the list
	 */
	public void updateServers(ServerList list) {
		this.servers = list;
		long currentEra = this.era.current();
		if (this.recordedEra != StoreEra.UNKNOWN && this.recordedEra != currentEra) {
			recordAgain();
		}
		this.recordedEra = currentEra;
		Map<String, Set<String>> listed = new HashMap<>();
		list.all().forEach((server) -> {
			if (this.services.contains(server.service())) {
				listed.computeIfAbsent(server.service(), (any) -> new TreeSet<>()).add(server.softwareVersion());
			}
		});
		this.versions.onServers(listed);
	}

	/**
	 * Sets the number of routers, on which the rate of writes depends; must be called on
	 * the control thread.
	 * @param count the count
	 */
	public void setRouterCount(int count) {
		this.records.setRouterCount(count);
	}

	/**
	 * Returns whether streams may be begun at a version, since all routers can know that
	 * it serves.
	 * @param service the name of the service
	 * @param version the version
	 * @return {@code false} for a new version for a short time
	 */
	public boolean isShared(String service, String version) {
		return this.versions.isShared(service, version);
	}

	/**
	 * Records where a request that begins a stream is about to be sent.
	 * @param streamId the id of the request, empty if it has none
	 * @param origin the origin
	 * @param timeoutMs the timeout of the route in milliseconds
	 * @return {@code false} if the record names another version and must be replaced by
	 * {@link #replace} first
	 */
	public boolean begin(String streamId, StreamOrigin origin, long timeoutMs) {
		if (streamId.isEmpty()) {
			return true;
		}
		String id = storedId(streamId);
		boolean several = this.versions.isSeveral(origin.service());
		long untilNanos = this.control.nanoTime() + Duration.ofMillis(TIMEOUTS_PER_STREAM * timeoutMs).toNanos();
		AtomicBoolean conflicting = new AtomicBoolean();
		AtomicBoolean added = new AtomicBoolean();
		this.streams.asMap().compute(id, (any, known) -> {
			if (known != null && known.recorded()) {
				conflicting.set(!known.origin().equals(origin));
				return known;
			}
			added.set(several);
			return new Begun(origin, 0, several, untilNanos);
		});
		if (added.get()) {
			this.control.execute(() -> this.records.add(id, 0, origin));
		}
		return !conflicting.get();
	}

	/**
	 * Records that a request which has brought no event is sent to a server of another
	 * version.
	 * @param streamId the id of the request
	 * @param origin the new origin
	 * @param executor runs the callback
	 * @param onReplaced called with {@code true} when the request may be sent
	 */
	public void replace(String streamId, StreamOrigin origin, Executor executor, Consumer<Boolean> onReplaced) {
		String id = storedId(streamId);
		Begun known = this.streams.getIfPresent(id);
		int number = (known != null) ? known.number() + 1 : OriginRecords.MAX_NUMBERS;
		if (known == null || number >= OriginRecords.MAX_NUMBERS) {
			executor.execute(() -> onReplaced.accept(false));
			return;
		}
		CompletableFuture<Boolean> result = new CompletableFuture<>();
		this.control.execute(() -> {
			this.control.schedule(LOOKUP_TIMEOUT, () -> result.complete(false));
			this.records.addNow(id, number, origin).thenAccept(result::complete);
		});
		result.thenAcceptAsync((replaced) -> {
			// Also after a write without a response, so that the next one has a higher
			// number.
			this.streams.put(id, new Begun(replaced ? origin : known.origin(), number, true, known.untilNanos()));
			onReplaced.accept(replaced);
		}, executor);
	}

	/**
	 * Finds the version that began a stream.
	 * @param streamId the id of the request that brought its first event, empty if
	 * unknown
	 * @param service the name of the service
	 * @param workspace the name of the workspace of the caller, empty without one
	 * @param executor runs the callback
	 * @param onFound called with the result, after at most 400 ms
	 */
	public void find(String streamId, String service, String workspace, Executor executor,
			Consumer<OriginLookup> onFound) {
		String id = streamId.isEmpty() ? "" : storedId(streamId);
		Begun known = id.isEmpty() ? null : this.streams.getIfPresent(id);
		if (known != null && known.origin().service().equals(service) && known.origin().workspace().equals(workspace)) {
			onFound.accept(new OriginLookup(known.origin().version(), OriginLookup.Source.MEMORY));
			return;
		}
		CompletableFuture<OriginLookup> result = new CompletableFuture<>();
		this.control.execute(() -> search(id, service, workspace, result));
		result.thenAcceptAsync((lookup) -> {
			if (lookup.isKnown() && !id.isEmpty()) {
				StreamOrigin origin = new StreamOrigin(service, lookup.version(), workspace);
				this.streams.asMap()
					.putIfAbsent(id, new Begun(origin, 0, lookup.source() == OriginLookup.Source.RECORD,
							this.control.nanoTime() + STALE_LIST_TIME.toNanos()));
			}
			onFound.accept(lookup);
		}, executor);
	}

	private void search(String id, String service, String workspace, CompletableFuture<OriginLookup> result) {
		this.control.schedule(LOOKUP_TIMEOUT,
				() -> result.complete(new OriginLookup("", OriginLookup.Source.UNAVAILABLE)));
		readOrigin(id, service, workspace, true, result);
	}

	private void readOrigin(String id, String service, String workspace, boolean first,
			CompletableFuture<OriginLookup> result) {
		long eraBefore = this.era.current();
		CompletableFuture<Optional<StreamOrigin>> recorded = id.isEmpty()
				? CompletableFuture.completedFuture(Optional.empty()) : this.records.read(id);
		recorded.thenCombineAsync(this.versions.read(service), (origin, history) -> {
			// Rows of an earlier history of the store prove nothing.
			if (eraBefore != StoreEra.UNKNOWN && eraBefore != this.era.current()) {
				return new OriginLookup("", OriginLookup.Source.UNAVAILABLE);
			}
			OriginLookup lookup = lookup(origin, history, service, workspace);
			if (!lookup.isKnown() && first && !id.isEmpty() && history.isPresent()
					&& isSettling(service, history.get())) {
				this.control.schedule(SETTLING_DELAY, () -> readOrigin(id, service, workspace, false, result));
				return null;
			}
			return lookup;
		}, this.control).whenComplete((lookup, failure) -> {
			if (failure != null) {
				result.complete(new OriginLookup("", OriginLookup.Source.UNAVAILABLE));
			}
			else if (lookup != null) {
				result.complete(lookup);
			}
		});
	}

	private OriginLookup lookup(Optional<StreamOrigin> origin, Optional<VersionHistory> history, String service,
			String workspace) {
		if (origin.isPresent()) {
			StreamOrigin found = origin.get();
			return (found.service().equals(service) && found.workspace().equals(workspace))
					? new OriginLookup(found.version(), OriginLookup.Source.RECORD)
					: new OriginLookup("", OriginLookup.Source.UNKNOWN);
		}
		return history.flatMap((known) -> this.versions.onlyVersion(service, known))
			.map((version) -> new OriginLookup(version, OriginLookup.Source.ONLY_VERSION))
			.orElse(new OriginLookup("", OriginLookup.Source.UNKNOWN));
	}

	// The router that began the stream may not know the new version yet, and then records
	// it.
	private boolean isSettling(String service, VersionHistory history) {
		return this.versions.isBehind(service, history)
				|| this.clock.earliestMs() - history.changedAtMs() < SETTLING_TIME.toMillis();
	}

	// Streams that were begun while one version served may go on beside others.
	private void recordKnownStreams(String service) {
		long nowNanos = this.control.nanoTime();
		this.streams.asMap().keySet().forEach((id) -> this.streams.asMap().computeIfPresent(id, (any, known) -> {
			if (known.recorded() || !known.origin().service().equals(service) || known.untilNanos() < nowNanos) {
				return known;
			}
			this.records.add(id, known.number(), known.origin());
			return new Begun(known.origin(), known.number(), true, known.untilNanos());
		}));
	}

	// The store has come back from an older copy, which may lack the last records.
	private void recordAgain() {
		long nowNanos = this.control.nanoTime();
		this.streams.asMap().keySet().forEach((id) -> this.streams.asMap().computeIfPresent(id, (any, known) -> {
			int number = known.number() + 1;
			if (!known.recorded() || known.untilNanos() < nowNanos || number >= OriginRecords.MAX_NUMBERS) {
				return known;
			}
			this.records.add(id, number, known.origin());
			return new Begun(known.origin(), number, true, known.untilNanos());
		}));
	}

	private static String storedId(String id) {
		boolean plain = id.length() <= MAX_ID_LENGTH
				&& id.chars().allMatch((c) -> (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z'));
		return plain ? id : "H" + Hashing.murmur3_128().hashUnencodedChars(id);
	}

	/**
	 * A stream that this router has begun or resumed. Immutable.
	 *
	 * @param origin the origin
	 * @param number the number of its newest record
	 * @param recorded whether the record is written or about to be
	 * @param untilNanos until when it may be resumed, by the steady clock
	 */
	private record Begun(StreamOrigin origin, int number, boolean recorded, long untilNanos) {
	}

}
