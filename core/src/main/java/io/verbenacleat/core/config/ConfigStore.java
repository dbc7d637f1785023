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
 * The stored versions of the configuration. Each version number is written once; the row
 * {@code config/current} repeats the newest. Safe for use by several threads; all methods
 * but {@link #readCurrent} block.
 */
public final class ConfigStore {

	/** The table key of the newest version. */
	public static final String CURRENT_KEY = "config/current";

	private static final String KEY_PREFIX = "config/";

	// Each row may have several MiB of text.
	private static final int SCAN_ROWS = 10;

	private final BlockingTableStore store;

	private final Clock clock;

	/**
	 * Creates a store.
	 * @param store the table service
	 * @param clock the clock for the time of an apply
	 */
	public ConfigStore(BlockingTableStore store, Clock clock) {
		this.store = store;
		this.clock = clock;
	}

	/**
	 * Returns the table key of a version; keys sort by number.
	 * @param number the version, from 1
	 * @return the key
	 */
	public static String key(long number) {
		return KEY_PREFIX + String.format("%012d", number);
	}

	/**
	 * Reads the newest version without blocking, for daemons.
	 * @param store the table service
	 * @return the version; fails with a {@link PlatformException}, also when none was
	 * ever applied
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
	 * @return the version, or empty when none was ever applied
	 * @throws PlatformException when the row cannot be read
	 */
	public Optional<StoredConfig> current() throws PlatformException {
		return parse(this.store.read(CURRENT_KEY));
	}

	/**
	 * Reads one version.
	 * @param number the version, from 1
	 * @return the version, or empty
	 * @throws PlatformException when the row cannot be read
	 */
	public Optional<StoredConfig> version(long number) throws PlatformException {
		return parse(this.store.read(key(number)));
	}

	/**
	 * Reads the versions after one.
	 * @param afterNumber the version after which to start, 0 for all
	 * @return the versions, oldest first
	 * @throws PlatformException when the rows cannot be read
	 */
	public List<StoredConfig> history(long afterNumber) throws PlatformException {
		List<StoredConfig> history = new ArrayList<>();
		String after = (afterNumber > 0) ? key(afterNumber) : "";
		List<Row> rows;
		do {
			rows = this.store.scan(KEY_PREFIX, after, SCAN_ROWS);
			for (Row row : rows) {
				after = row.key();
				if (!row.key().equals(CURRENT_KEY)) {
					parse(row).ifPresent(history::add);
				}
			}
		}
		while (rows.size() == SCAN_ROWS);
		return history;
	}

	/**
	 * Applies files, which were checked before, as the version after the expected one.
	 * @param files the files
	 * @param author who applies them
	 * @param applyId a mark that no other apply has
	 * @param expectedVersion the version that must be current, 0 for none
	 * @return the version that was written
	 * @throws VersionConflictException when another version is current
	 * @throws PlatformException when the platform fails or the outcome stays unknown
	 */
	public StoredConfig apply(ConfigFiles files, String author, String applyId, long expectedVersion)
			throws VersionConflictException, PlatformException {
		StoredConfig wanted = stored(files, author, applyId, expectedVersion + 1);
		return new ConditionalWriter(this.store)
			.<StoredConfig, VersionConflictException>write((answerLost) -> plan(wanted));
	}

	private ConditionalWriter.Plan<StoredConfig> plan(StoredConfig wanted)
			throws VersionConflictException, PlatformException {
		String key = key(wanted.number());
		List<Row> rows = this.store.read(List.of(CURRENT_KEY, key, Head.KEY));
		Optional<StoredConfig> written = parse(rows.get(1));
		if (written.isPresent() && written.get().applyId().equals(wanted.applyId())) {
			return new ConditionalWriter.Plan<>(null, written.get());
		}
		long current = parse(rows.get(0)).map(StoredConfig::number).orElse(0L);
		if (current != wanted.number() - 1) {
			throw new VersionConflictException(wanted.number() - 1, current);
		}
		String json = Json.write(wanted);
		Transaction transaction = Transaction.builder()
			.putIf(CURRENT_KEY, rows.get(0).version(), json)
			.insert(key, json)
			.putIf(Head.KEY, rows.get(2).version(), Json.write(head(rows.get(2)).withNextVersion(Head.CONFIG)))
			.build();
		return new ConditionalWriter.Plan<>(transaction, wanted);
	}

	private StoredConfig stored(ConfigFiles files, String author, String applyId, long number) {
		var overlays = new TreeMap<String, String>();
		files.overlays().forEach((site, text) -> overlays.put(site, text.text()));
		return new StoredConfig(number, files.base().text(), overlays, author, applyId, this.clock.millis());
	}

	private static Head head(Row row) throws PlatformProtocolException {
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
