package io.verbenacleat.entry.routing;

import java.util.List;

/**
 * Selects one of the backend servers that can receive a request. Implementations are safe
 * for use by several threads.
 */
@FunctionalInterface
public interface RoutingPolicy {

	/**
	 * Selects a candidate.
	 * @param prefix the prefix key of the prompt, {@link PrefixKey#NONE} for requests
	 * without a prompt
	 * @param candidates the candidates, at least one, in any order
	 * @return one of the candidates
	 */
	RoutingCandidate select(PrefixKey prefix, List<RoutingCandidate> candidates);

}
