package io.verbenacleat.entry.budget;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.verbenacleat.core.account.Account;
import io.verbenacleat.core.account.Callers;
import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import org.jspecify.annotations.Nullable;

/**
 * Caches the callers of accounts. An invalidated row is read again at its next use, and
 * stays in use while the table store is unavailable. Absent rows are not cached. Used on
 * the control thread only.
 */
final class CallerCache {

	private static final int CACHED_ROWS = 30_000;

	private final TableStore store;

	private final ControlThread control;

	private final Duration timeout;

	private final Cache<String, Callers> cached = Caffeine.newBuilder().maximumSize(CACHED_ROWS).build();

	private final Set<String> stale = new HashSet<>();

	private long invalidations;

	CallerCache(TableStore store, ControlThread control, Duration timeout) {
		this.store = store;
		this.control = control;
		this.timeout = timeout;
	}

	void invalidate(String accountId) {
		this.invalidations++;
		if (this.cached.getIfPresent(accountId) != null) {
			this.stale.add(accountId);
		}
	}

	void invalidateAll() {
		this.invalidations++;
		this.stale.addAll(this.cached.asMap().keySet());
	}

	/**
	 * Finds the callers of an account, within the timeout of this cache.
	 * @param accountId the account
	 * @return the callers as far as known; completes on the control thread and never
	 * fails
	 */
	CompletableFuture<Lookup> find(String accountId) {
		Callers known = this.cached.getIfPresent(accountId);
		if (known != null && !this.stale.contains(accountId)) {
			return CompletableFuture.completedFuture(new Lookup(known, true));
		}
		CompletableFuture<Lookup> answer = new CompletableFuture<>();
		Lookup fallback = new Lookup(known, known != null);
		Cancellable timer = this.control.schedule(this.timeout, () -> answer.complete(fallback));
		long invalidationsBefore = this.invalidations;
		this.store.read(List.of(Callers.key(accountId), Account.key(accountId))).whenCompleteAsync((rows, failure) -> {
			timer.cancel();
			answer.complete(
					(rows != null) ? cacheRows(accountId, rows, invalidationsBefore == this.invalidations) : fallback);
		}, this.control);
		return answer;
	}

	private Lookup cacheRows(String accountId, List<Row> rows, boolean current) {
		try {
			if (rows.get(0).exists()) {
				Callers callers = Json.read(rows.get(0).json(), Callers.class);
				this.cached.put(accountId, callers);
				// After an invalidation during the read the row may be old, so it is
				// read again at the next use.
				if (current) {
					this.stale.remove(accountId);
				}
				else {
					this.stale.add(accountId);
				}
				return new Lookup(callers, true);
			}
			this.cached.invalidate(accountId);
			this.stale.remove(accountId);
			return new Lookup((rows.get(1).exists()) ? new Callers(List.of()) : null, true);
		}
		catch (JsonFormatException ex) {
			return new Lookup(null, false);
		}
	}

	/**
	 * The result of a look-up. Immutable.
	 *
	 * @param callers the callers, or {@code null} when the account does not exist or
	 * could not be read
	 * @param answered whether the cache or the table store gave the result
	 */
	record Lookup(@Nullable Callers callers, boolean answered) {
	}

}
