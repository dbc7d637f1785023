package io.verbenacleat.entry.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import org.jspecify.annotations.Nullable;

/**
 * Finds and caches the final rows of closed holders. Final rows never change. Holders
 * that are still open are cached for some seconds, so that a read of an account row does
 * not cause a read for each grant of another holder. Used on the control thread only.
 */
final class FinalRowCache {

	/** A longer time saves reads, but delays the return of a closed holder's tokens. */
	private static final Duration OPEN_CACHE_TIME = Duration.ofSeconds(5);

	private static final int CACHED_ROWS = 1_000;

	private final TableStore store;

	private final ControlThread control;

	private final Cache<String, JournalRow> finalRows = Caffeine.newBuilder().maximumSize(CACHED_ROWS).build();

	private final Cache<String, Long> openUntilMs = Caffeine.newBuilder().maximumSize(CACHED_ROWS).build();

	FinalRowCache(TableStore store, ControlThread control) {
		this.store = store;
		this.control = control;
	}

	/**
	 * Returns the final rows of those holders that are known to be closed.
	 * @param holders the holder incarnations
	 * @return the rows by holder incarnation, without those that could not be read;
	 * completes on the control thread and never fails
	 */
	CompletableFuture<Map<String, JournalRow>> find(Collection<String> holders) {
		Map<String, JournalRow> found = new HashMap<>();
		List<String> uncached = new ArrayList<>();
		long nowMs = this.control.clock().millis();
		for (String holder : holders) {
			JournalRow row = this.finalRows.getIfPresent(holder);
			Long untilMs = this.openUntilMs.getIfPresent(holder);
			if (row != null) {
				found.put(holder, row);
			}
			else if (untilMs == null || nowMs >= untilMs) {
				uncached.add(holder);
			}
		}
		if (uncached.isEmpty()) {
			return CompletableFuture.completedFuture(found);
		}
		return read(uncached).thenApply((rows) -> {
			found.putAll(rows);
			return found;
		});
	}

	private CompletableFuture<Map<String, JournalRow>> read(List<String> holders) {
		List<String> keys = new ArrayList<>();
		for (String holder : holders) {
			keys.add(ProcessRow.key(holder));
			keys.add(JournalRow.finalKey(holder));
		}
		return this.store.read(keys).handleAsync((rows, failure) -> cacheRows(holders, rows), this.control);
	}

	private Map<String, JournalRow> cacheRows(List<String> holders, @Nullable List<Row> rows) {
		Map<String, JournalRow> found = new HashMap<>();
		for (int i = 0; rows != null && i < holders.size(); i++) {
			String holder = holders.get(i);
			JournalRow row = finalRow(rows.get(2 * i), rows.get(2 * i + 1));
			if (row != null) {
				this.finalRows.put(holder, row);
				this.openUntilMs.invalidate(holder);
				found.put(holder, row);
			}
			else {
				this.openUntilMs.put(holder, this.control.clock().millis() + OPEN_CACHE_TIME.toMillis());
			}
		}
		return found;
	}

	private static @Nullable JournalRow finalRow(Row process, Row finalRow) {
		try {
			boolean closed = process.exists() && finalRow.exists()
					&& Json.read(process.json(), ProcessRow.class).state() == ProcessRow.State.CLOSED;
			return (closed) ? Json.read(finalRow.json(), JournalRow.class) : null;
		}
		catch (JsonFormatException ex) {
			return null;
		}
	}

}
