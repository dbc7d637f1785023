package io.verbenacleat.agent.command;

import java.util.concurrent.CompletableFuture;

/**
 * The control interface of one engine. Implementations are safe for use by several
 * threads and do not block.
 */
public interface EngineControl {

	/**
	 * Reads the models, adapters and role that the engine reports.
	 * @return a future with the state; fails with an {@link java.io.IOException}
	 */
	CompletableFuture<EngineState> readState();

	/**
	 * Sends a command once.
	 * @param command the command
	 * @return a future with the outcome, which never fails
	 */
	CompletableFuture<CommandOutcome> send(EngineCommand command);

}
