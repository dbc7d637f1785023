package io.verbenacleat.router.relay;

import java.util.Set;

/**
 * The names of the headers that callers, backend servers and the router use between them.
 * Immutable; header names are not case-sensitive.
 *
 * @param requestId the identity of one request of a caller, echoed in answers
 * @param deadlineMs the milliseconds that the sender waits
 * @param callerKey the key of the caller
 * @param workspace the workspace of the caller, set by the router
 * @param targetServer the id of the server that may run the request, set by the router
 * @param notRun in an answer: the server did not run the request
 * @param promptPrefix the parts of the prompt, as {@code id:tokens} with commas
 * @param tokenUsage the prompt tokens and the most output tokens, with a comma
 * @param lastEventId the event after which a stream resumes
 * @param priority the rank of a request at a model server, set by the router
 * @param serverLeaving in an answer, with the value 1: the server is about to leave
 * @param routerOnly lower-case names that only a router may set, removed from requests
 */
public record HeaderNames(String requestId, String deadlineMs, String callerKey, String workspace, String targetServer,
		String notRun, String promptPrefix, String tokenUsage, String lastEventId, String priority,
		String serverLeaving, Set<String> routerOnly) {

	/**
	 * Creates names from a copy of the set.
	 */
	public HeaderNames {
		routerOnly = Set.copyOf(routerOnly);
	}

}
