package io.verbenacleat.router.relay;

import java.util.Set;

/**
 * The names of the HTTP headers that callers, backend servers and the router exchange.
 * Header names are not case-sensitive. Immutable.
 *
 * @param requestId the id of a caller's request, echoed in the response
 * @param deadlineMs the time that the sender waits for the response, in milliseconds
 * @param callerKey the API key of the caller
 * @param workspace the workspace of the caller, set by the router
 * @param targetServer the id of the server that may run the request, set by the router
 * @param notRun in a response: the server did not run the request
 * @param promptPrefix the parts of the prompt as {@code id:tokens}, separated by commas
 * @param tokenUsage the prompt tokens and the maximum output tokens, separated by a comma
 * @param lastEventId the id of the event after which a stream is resumed
 * @param resumes the id of the request that brought the first event of a stream, in a
 * request that resumes it
 * @param priority the priority of a request at a model server, set by the router
 * @param serverLeaving in a response, with the value 1: the server is about to leave
 * @param serverLimit in a response: the requests per second that the server accepts from
 * all routers together, a decimal number
 * @param warmUpLeftMs in a response: the remaining time in milliseconds for which the
 * server warms up, a decimal number
 * @param routerOnly lower-case names that only routers may set, removed from the requests
 * of callers
 */
public record HeaderNames(String requestId, String deadlineMs, String callerKey, String workspace, String targetServer,
		String notRun, String promptPrefix, String tokenUsage, String lastEventId, String resumes, String priority,
		String serverLeaving, String serverLimit, String warmUpLeftMs, Set<String> routerOnly) {

	/**
	 * Creates an instance with a copy of the set.
	 */
	public HeaderNames {
		routerOnly = Set.copyOf(routerOnly);
	}

}
