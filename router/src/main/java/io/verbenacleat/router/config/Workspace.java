package io.verbenacleat.router.config;

import java.util.List;

/**
 * A customer with its keys and its prepaid tokens.
 *
 * @param name the name
 * @param keys the keys of its callers
 * @param priority the rank of its requests, 0 is the most urgent; -1 when the route
 * decides
 * @param prepaidTokens the tokens that it may use, -1 without a limit
 */
public record Workspace(String name, List<String> keys, int priority, long prepaidTokens) {

	/**
	 * Creates a workspace from a copy of the list.
	 */
	public Workspace {
		keys = List.copyOf(keys);
	}

	/**
	 * Returns whether its tokens are limited.
	 * @return {@code true} with a limit
	 */
	public boolean isPrepaid() {
		return this.prepaidTokens >= 0;
	}

}
