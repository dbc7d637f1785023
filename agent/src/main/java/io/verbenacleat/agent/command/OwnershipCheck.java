package io.verbenacleat.agent.command;

import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.member.ServerRow;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;

/**
 * Checks whether a newer agent has registered for the same backend server. Safe for use
 * by several threads.
 */
@FunctionalInterface
public interface OwnershipCheck {

	/**
	 * Reads whether a newer agent exists.
	 * @return a future with {@code true} when there is one; fails when this cannot be
	 * read
	 */
	CompletableFuture<Boolean> isSuperseded();

	/**
	 * Returns a check that reads the row of a backend server.
	 * @param store the table store
	 * @param server the name of the backend server
	 * @param incarnation the incarnation of this agent, which must be registered
	 * @return the check
	 */
	static OwnershipCheck of(TableStore store, String server, String incarnation) {
		return () -> store.read(ServerRow.key(server)).thenApply((row) -> isOwnedByOther(row, incarnation));
	}

	private static boolean isOwnedByOther(Row row, String incarnation) {
		try {
			return row.version() > 0 && !Json.read(row.json(), ServerRow.class).agentIncarnation().equals(incarnation);
		}
		catch (JsonFormatException ex) {
			throw new IllegalStateException("The row of the backend server is malformed", ex);
		}
	}

}
