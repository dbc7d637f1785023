package io.verbenacleat.router.config;

import java.util.List;

/**
 * A customer with its API keys and its prepaid token budget. Immutable.
 *
 * @param name the name
 * @param keys the keys of its callers
 * @param priority the priority of its requests, 0 is the most urgent, -1 for the priority
 * of the route
 * @param prepaidTokens the total number of prepaid tokens, negative for no limit
 */
public record Workspace(String name, List<String> keys, int priority, long prepaidTokens) {

	/**
	 * Creates a workspace with a copy of the list of keys.
	 */
	public Workspace {
		keys = List.copyOf(keys);
	}

	/**
	 * Returns whether the tokens of this workspace are limited.
	 * @return {@code true} if there is a limit
	 */
	public boolean isPrepaid() {
		return this.prepaidTokens >= 0;
	}

}
