package io.verbenacleat.core.config;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import io.verbenacleat.core.head.Head;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.BlockingTableStore;
import io.verbenacleat.core.platform.ConditionalWriter;
import io.verbenacleat.core.platform.PlatformException;
import io.verbenacleat.core.platform.PlatformProtocolException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;

/**
 * Reads and writes the stored versions of the configuration. Each version is written once
 * to a row of its own; the row {@code config/current} is a copy of the newest. Safe for
 * use by several threads; all methods except {@link #readCurrent} block until the table
 * store answers.
 */
public final class ConfigStore {

	/** The table key of the newest version. */
	public static final String CURRENT_KEY = "config/current";

	private static final String KEY_PREFIX = "config/";

	// Small, since each row may have several MiB of text.
	private static final int PAGE_ROWS = 10;

	private final BlockingTableStore store;

	private final Clock clock;

	/**
	 * Creates a store.
	 * @param store the table store
	 * @param clock the clock for the times at which versions are applied
	 */
	public ConfigStore(BlockingTableStore store, Clock clock) {
		this.store = store;
		this.clock = clock;
	}

	/**
	 * Returns the table key of a version. The order of keys is the order of versions.
	 * @param number the number of the version, from 1
	 * @return the key
	 */
	public static String key(long number) {
		return KEY_PREFIX + String.format("%012d", number);
	}

	/**
	 * Reads the newest version without blocking, for daemons.
	 * @param store the table store
	 * @return a future with the version; fails with a {@link PlatformException}, also if
	 * no version was ever applied
	 */
	public static CompletableFuture<StoredConfig> readCurrent(TableStore store) {
		return store.read(CURRENT_KEY).thenApply((row) -> {
			try {
				return parse(row)
					.orElseThrow(() -> new PlatformProtocolException("No configuration was ever applied", null));
			}
			catch (PlatformProtocolException ex) {
				throw new CompletionException(ex);
			}
		});
	}

	/**
	 * Reads the newest version.
	 * @return the version, or empty if none was ever applied
	 * @throws PlatformException if the row cannot be read
	 */
	public Optional<StoredConfig> current() throws PlatformException {
		return parse(this.store.read(CURRENT_KEY));
	}

	/**
	 * Reads one version.
	 * @param number the number of the version, from 1
	 * @return the version, or empty if there is none with that number
	 * @throws PlatformException if the row cannot be read
	 */
	public Optional<StoredConfig> version(long number) throws PlatformException {
		return parse(this.store.read(key(number)));
	}

	/**
	 * Reads the versions after a given one.
	 * @param afterNumber the number of the version after which to start, 0 for all
	 * @return the versions, oldest first
	 * @throws PlatformException if the rows cannot be read
	 */
	public List<StoredConfig> history(long afterNumber) throws PlatformException {
		List<StoredConfig> history = new ArrayList<>();
		String after = (afterNumber > 0) ? key(afterNumber) : "";
		List<Row> rows;
		do {
			rows = this.store.scan(KEY_PREFIX, after, PAGE_ROWS);
			for (Row row : rows) {
				after = row.key();
				if (!row.key().equals(CURRENT_KEY)) {
					parse(row).ifPresent(history::add);
				}
			}
		}
		while (rows.size() == PAGE_ROWS);
		return history;
	}

	/**
	 * Writes files as the version after the expected one. A retry with the same
	 * {@code applyId} has no further effect.
	 * @param files the files, which must have passed {@link ConfigLoader#loadAll}
	 * @param author who applies the files
	 * @param applyId the unique id of this apply operation
	 * @param expectedVersion the version that must be current, 0 for none
	 * @return the version that was written
	 * @throws VersionConflictException if another version is current
	 * @throws PlatformException if the platform fails or the outcome remains unknown
	 */
	public StoredConfig apply(ConfigFiles files, String author, String applyId, long expectedVersion)
			throws VersionConflictException, PlatformException {
		StoredConfig newVersion = createVersion(files, author, applyId, expectedVersion + 1);
		return new ConditionalWriter(this.store)
			.<StoredConfig, VersionConflictException>write((answerLost) -> plan(newVersion));
	}

	private ConditionalWriter.Plan<StoredConfig> plan(StoredConfig newVersion)
			throws VersionConflictException, PlatformException {
		String key = key(newVersion.number());
		List<Row> rows = this.store.read(List.of(CURRENT_KEY, key, Head.KEY));
		Optional<StoredConfig> existing = parse(rows.get(1));
		if (existing.isPresent() && existing.get().applyId().equals(newVersion.applyId())) {
			return new ConditionalWriter.Plan<>(null, existing.get());
		}
		long current = parse(rows.get(0)).map(StoredConfig::number).orElse(0L);
		if (current != newVersion.number() - 1) {
			throw new VersionConflictException(newVersion.number() - 1, current);
		}
		String json = Json.write(newVersion);
		Transaction transaction = Transaction.builder()
			.putIf(CURRENT_KEY, rows.get(0).version(), json)
			.insert(key, json)
			.putIf(Head.KEY, rows.get(2).version(), Json.write(parseHead(rows.get(2)).withNextVersion(Head.CONFIG)))
			.build();
		return new ConditionalWriter.Plan<>(transaction, newVersion);
	}

	private StoredConfig createVersion(ConfigFiles files, String author, String applyId, long number) {
		var overlays = new TreeMap<String, String>();
		files.overlays().forEach((site, text) -> overlays.put(site, text.text()));
		return new StoredConfig(number, files.base().text(), overlays, author, applyId, this.clock.millis());
	}

	private static Head parseHead(Row row) throws PlatformProtocolException {
		try {
			return (row.exists()) ? Json.read(row.json(), Head.class) : new Head(Map.of());
		}
		catch (JsonFormatException ex) {
			throw new PlatformProtocolException("Row " + row.key() + ": " + ex.getMessage(), ex);
		}
	}

	private static Optional<StoredConfig> parse(Row row) throws PlatformProtocolException {
		try {
			return (row.exists()) ? Optional.of(Json.read(row.json(), StoredConfig.class)) : Optional.empty();
		}
		catch (JsonFormatException ex) {
			throw new PlatformProtocolException("Row " + row.key() + ": " + ex.getMessage(), ex);
		}
	}

}
