package io.verbenacleat.agent.command;

import java.util.concurrent.CompletableFuture;

/**
 * The control interface of one engine. Implementations are safe for use by several
 * threads and do not block.
 */
public interface EngineControl {

	/**
	 * Reads what the engine has loaded.
	 * @return the state; fails with an {@link java.io.IOException}
	 */
	CompletableFuture<EngineState> readState();

	/**
	 * Sends a command once.
	 * @param command the command
	 * @return what became of it, never fails
	 */
	CompletableFuture<CommandOutcome> send(EngineCommand command);

}
