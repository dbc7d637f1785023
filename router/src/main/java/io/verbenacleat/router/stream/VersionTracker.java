package io.verbenacleat.router.stream;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.PlatformException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WriteOutcome;
import io.verbenacleat.router.budget.StoreClock;
import io.verbenacleat.router.budget.StoreEra;
import io.verbenacleat.router.log.DecisionLog;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the history of the software versions of each service in the store. Confined to
 * the control thread, except the methods that state otherwise.
 * <p>
 * A row is written when the set of versions changes, and a version begins streams only
 * after its row names it. So a router that reads the row knows each version at which any
 * router may have begun a stream.
 */
final class VersionTracker implements AutoCloseable {

	static final String PREFIX = "versions/";

	/** Most routers find the row written by the first one. */
	private static final long MAX_SPREAD_MS = 100;

	private static final long RETRY_DELAY_MS = 500;

	private final TableStore store;

	private final StoreClock clock;

	private final StoreEra era;

	private final ControlThread control;

	private final DecisionLog log;

	private final RandomGenerator random;

	private final boolean firstStart;

	private final Consumer<String> onSeveral;

	private final Map<String, Tracked> services = new HashMap<>();

	private volatile Map<String, Versions> published = Map.of();

	private Duration horizon = Duration.ZERO;

	private boolean closed;

	/**
	 * Creates a tracker without services.
	 * @param store the table service
	 * @param clock the clock of the store
	 * @param era the era of the store
	 * @param control the control thread
	 * @param log receives a line for each change of a history
	 * @param random spreads the calls of many routers
	 * @param firstStart whether the whole fleet starts for the first time
	 * @param onSeveral called with a service when streams of several versions may exist
	 */
	VersionTracker(TableStore store, StoreClock clock, StoreEra era, ControlThread control, DecisionLog log,
			RandomGenerator random, boolean firstStart, Consumer<String> onSeveral) {
		this.store = store;
		this.clock = clock;
		this.era = era;
		this.control = control;
		this.log = log;
		this.random = random;
		this.firstStart = firstStart;
		this.onSeveral = onSeveral;
	}

	@Override
	public void close() {
		this.closed = true;
	}

	/**
	 * Sets for how long a stream of a version that has left may still be resumed.
	 * @param newHorizon the time
	 */
	void setHorizon(Duration newHorizon) {
		this.horizon = newHorizon;
	}

	/**
	 * Applies a list of servers.
	 * @param listed the versions of the registered servers by service
	 */
	void onServers(Map<String, Set<String>> listed) {
		listed.forEach((service, versions) -> {
			Tracked tracked = this.services.computeIfAbsent(service, Tracked::new);
			tracked.listed = Set.copyOf(versions);
			tracked.seen.addAll(versions);
			tracked.update();
		});
		publish();
	}

	/**
	 * Returns whether all routers can know that a version serves; may be called on any
	 * thread.
	 * @param service the name of the service
	 * @param version the version
	 * @return {@code false} until the version is in the row
	 */
	boolean isShared(String service, String version) {
		Versions versions = this.published.get(service);
		return versions != null && versions.shared().contains(version);
	}

	/**
	 * Returns whether streams of several versions may exist; may be called on any thread.
	 * @param service the name of the service
	 * @return {@code false} also while this is not known
	 */
	boolean isSeveral(String service) {
		Versions versions = this.published.get(service);
		return versions != null && versions.several();
	}

	/**
	 * Reads the history of a service.
	 * @param service the name of the service
	 * @return the history, empty if it was not written in this era of the store; fails if
	 * the store does not respond
	 */
	CompletableFuture<Optional<VersionHistory>> read(String service) {
		return this.store.read(PREFIX + service)
			.thenApplyAsync(
					(row) -> Optional.ofNullable(parse(row)).filter((history) -> history.era() == this.era.current()),
					this.control);
	}

	/**
	 * Returns the version that began each stream which may still be resumed.
	 * @param service the name of the service
	 * @param history the history of the service
	 * @return the version, empty if several may have begun streams
	 */
	Optional<String> onlyVersion(String service, VersionHistory history) {
		return isBehind(service, history) ? Optional.empty()
				: history.onlyVersion(this.clock.earliestMs(), this.horizon);
	}

	/**
	 * Returns whether a history lacks versions that this router knows. Routers that
	 * started without the store may have begun streams at versions that it never named,
	 * and a history that was read before a change lacks the new one.
	 * @param service the name of the service
	 * @param history the history of the service
	 * @return {@code true} until a history is read that names them
	 */
	boolean isBehind(String service, VersionHistory history) {
		Tracked tracked = this.services.get(service);
		if (tracked == null) {
			return false;
		}
		Set<String> known = new HashSet<>(tracked.seen);
		VersionHistory current = tracked.history;
		if (current != null) {
			known.addAll(current.recentVersions(this.clock.earliestMs(), this.horizon));
		}
		return !known.stream().allMatch(history::names);
	}

	private @Nullable VersionHistory parse(Row row) {
		if (!row.exists()) {
			return null;
		}
		try {
			StoredHistory stored = Json.read(row.json(), StoredHistory.class);
			Set<String> serving = stored.serving();
			Map<String, Long> endedAtMs = stored.endedAtMs();
			if (serving != null && endedAtMs != null) {
				return new VersionHistory(stored.era(), stored.incompleteUntilMs(), stored.changedAtMs(), serving,
						endedAtMs);
			}
		}
		catch (JsonFormatException | NullPointerException ex) {
			this.log.event("versions.unreadable")
				.with("row", row.key())
				.with("reason", String.valueOf(ex.getMessage()))
				.emit();
		}
		// No era is below that, so the history counts as lost.
		return VersionHistory.empty(StoreEra.UNKNOWN);
	}

	private void publish() {
		Map<String, Versions> next = new HashMap<>();
		Map<String, Versions> previous = this.published;
		this.services.forEach((service, tracked) -> next.put(service, tracked.versions()));
		this.published = Map.copyOf(next);
		next.forEach((service, versions) -> {
			Versions before = previous.get(service);
			if (versions.several() && (before == null || !before.several())) {
				this.onSeveral.accept(service);
			}
		});
	}

	/**
	 * What requests ask of one service. Immutable.
	 *
	 * @param shared the versions in the row
	 * @param several whether streams of several versions may exist, as far as is known
	 */
	private record Versions(Set<String> shared, boolean several) {
	}

	/**
	 * The content of a row.
	 *
	 * @param era the era
	 * @param incompleteUntilMs the time, 0 for none
	 * @param changedAtMs the time of the last change
	 * @param serving the versions
	 * @param endedAtMs the times by version
	 */
	record StoredHistory(long era, long incompleteUntilMs, long changedAtMs, @Nullable Set<String> serving,
			@Nullable Map<String, Long> endedAtMs) {
	}

	private final class Tracked {

		private final String service;

		private Set<String> listed = Set.of();

		/** All versions that were listed since the row was last up to date. */
		private final Set<String> seen = new HashSet<>();

		/** The row as last read or written. */
		private @Nullable VersionHistory history;

		private boolean writing;

		private @Nullable Cancellable expiryTimer;

		private Tracked(String service) {
			this.service = service;
		}

		private Versions versions() {
			VersionHistory current = this.history;
			if (current == null) {
				return new Versions(Set.of(), false);
			}
			boolean several = this.listed.size() > 1
					|| current.onlyVersion(VersionTracker.this.clock.earliestMs(), VersionTracker.this.horizon)
						.isEmpty();
			return new Versions(current.serving(), several);
		}

		private void update() {
			VersionHistory current = this.history;
			boolean same = current != null && current.era() == VersionTracker.this.era.current()
					&& current.serving().equals(this.listed) && this.seen.stream().allMatch(current::names);
			// Registrations that lapse together are usually back soon.
			if (!same && !this.listed.isEmpty() && !this.writing) {
				this.writing = true;
				long spreadMs = (current != null) ? VersionTracker.this.random.nextLong(MAX_SPREAD_MS) : 0;
				VersionTracker.this.control.schedule(Duration.ofMillis(spreadMs), this::read);
			}
		}

		private void read() {
			if (VersionTracker.this.closed) {
				return;
			}
			VersionTracker.this.store.read(PREFIX + this.service).whenCompleteAsync((row, failure) -> {
				if (row == null) {
					retry(PlatformException.reason(failure));
					return;
				}
				VersionHistory stored = parse(row);
				VersionHistory next = next(stored);
				if (next.equals(stored)) {
					adopt(next);
				}
				else {
					write(row, next);
				}
			}, VersionTracker.this.control);
		}

		private VersionHistory next(@Nullable VersionHistory stored) {
			long currentEra = VersionTracker.this.era.current();
			// 0 stands for no time.
			long nowMs = Math.max(1, VersionTracker.this.clock.latestMs());
			VersionHistory known = this.history;
			VersionHistory base;
			if (stored != null && stored.era() == currentEra) {
				base = stored;
			}
			else if (stored == null && known == null && VersionTracker.this.firstStart) {
				base = VersionHistory.empty(currentEra);
			}
			else {
				VersionHistory nothing = VersionHistory.empty(currentEra);
				base = ((stored != null) ? stored : nothing).mergeIncomplete((known != null) ? known : nothing,
						currentEra, nowMs);
			}
			return base.withServing(this.seen, nowMs, VersionTracker.this.horizon)
				.withServing(this.listed, nowMs, VersionTracker.this.horizon);
		}

		private void write(Row row, VersionHistory next) {
			StoredHistory content = new StoredHistory(next.era(), next.incompleteUntilMs(), next.changedAtMs(),
					next.serving(), next.endedAtMs());
			Transaction transaction = Transaction.builder()
				.putIf(row.key(), row.version(), Json.write(content))
				.build();
			VersionTracker.this.store.transact(transaction).whenCompleteAsync((outcome, failure) -> {
				if (outcome instanceof WriteOutcome.Conflict) {
					// Another router was faster.
					read();
				}
				else if (!(outcome instanceof WriteOutcome.Applied)) {
					retry("store does not respond");
				}
				else if (VersionTracker.this.era.current() != next.era()) {
					retry("store was restored");
				}
				else {
					VersionTracker.this.log.event("versions.changed")
						.with("service", this.service)
						.with("serving", String.join(",", next.serving()))
						.with("ended", String.join(",", next.endedAtMs().keySet()))
						.with("incomplete", next.incompleteUntilMs() != 0)
						.emit();
					adopt(next);
				}
			}, VersionTracker.this.control);
		}

		private void retry(String reason) {
			VersionTracker.this.log.event("versions.retried")
				.with("service", this.service)
				.with("reason", reason)
				.emit();
			long delayMs = RETRY_DELAY_MS + VersionTracker.this.random.nextLong(MAX_SPREAD_MS);
			VersionTracker.this.control.schedule(Duration.ofMillis(delayMs), this::read);
		}

		private void adopt(VersionHistory next) {
			this.writing = false;
			this.history = next;
			this.seen.removeIf(next::names);
			this.seen.addAll(this.listed);
			publish();
			Cancellable timer = this.expiryTimer;
			if (timer != null) {
				timer.cancel();
			}
			this.expiryTimer = VersionTracker.this.control.schedule(VersionTracker.this.horizon.plusSeconds(1),
					VersionTracker.this::publish);
			// The list may have changed meanwhile.
			update();
		}

	}

}
