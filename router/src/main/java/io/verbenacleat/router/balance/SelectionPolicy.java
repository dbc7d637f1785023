package io.verbenacleat.router.balance;

import java.util.List;

/**
 * Selects a backend server for a request. Implementations are not safe for use by several
 * threads.
 */
public interface SelectionPolicy {

	/**
	 * Selects a server.
	 * @param candidates the servers to select from, at least one
	 * @param request the request
	 * @return one of the candidates
	 */
	Candidate select(List<Candidate> candidates, RequestDescription request);

	/**
	 * Selects a server for a request whose prompt tokens are not known.
	 * @param candidates the servers to select from, at least one
	 * @param affinityKey a key that requests with a common prompt prefix share, 0 for
	 * none
	 * @return one of the candidates
	 */
	default Candidate select(List<Candidate> candidates, long affinityKey) {
		return select(candidates, RequestDescription.of(affinityKey));
	}

}
