package io.verbenacleat.agent;

import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.config.OfficeConfig;

/**
 * Reads the configuration of the own site.
 */
@FunctionalInterface
interface ConfigSource {

	/**
	 * Reads the newest configuration.
	 * @return the configuration; fails when there is none or it is refused
	 */
	CompletableFuture<OfficeConfig> read();

}
