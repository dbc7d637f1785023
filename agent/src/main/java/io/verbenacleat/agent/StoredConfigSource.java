package io.verbenacleat.agent;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import io.verbenacleat.core.config.ConfigException;
import io.verbenacleat.core.config.ConfigLoader;
import io.verbenacleat.core.config.ConfigStore;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.config.StoredConfig;
import io.verbenacleat.core.platform.TableStore;

/**
 * Reads the configuration from the table service. Safe for use by several threads.
 */
final class StoredConfigSource implements ConfigSource {

	private final TableStore store;

	private final String site;

	private final ConfigLoader loader = new ConfigLoader();

	StoredConfigSource(TableStore store, String site) {
		this.store = store;
		this.site = site;
	}

	@Override
	public CompletableFuture<OfficeConfig> read() {
		return ConfigStore.readCurrent(this.store).thenApply(this::load);
	}

	private OfficeConfig load(StoredConfig stored) {
		try {
			return this.loader.load(stored.number(), stored.files(), this.site);
		}
		catch (ConfigException ex) {
			throw new CompletionException(ex);
		}
	}

}
