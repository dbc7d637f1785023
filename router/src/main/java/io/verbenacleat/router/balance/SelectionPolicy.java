package io.verbenacleat.router.balance;

import java.util.List;

/**
 * Chooses a backend server for a request. Implementations are not safe for use by several
 * threads.
 */
public interface SelectionPolicy {

	/**
	 * Chooses a server.
	 * @param candidates the servers that may be chosen, at least one
	 * @param affinityKey what requests with a common prompt share, 0 without one
	 * @return one of the candidates
	 */
	Candidate select(List<Candidate> candidates, long affinityKey);

}
