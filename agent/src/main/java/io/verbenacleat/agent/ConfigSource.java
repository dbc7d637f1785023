package io.verbenacleat.agent;

import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.config.OfficeConfig;

/**
 * Reads the configuration of the site of this agent.
 */
@FunctionalInterface
interface ConfigSource {

	/**
	 * Reads the newest configuration.
	 * @return a future with the configuration; fails when there is none or it is invalid
	 */
	CompletableFuture<OfficeConfig> read();

}
