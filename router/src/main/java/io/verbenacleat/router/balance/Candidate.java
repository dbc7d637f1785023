package io.verbenacleat.router.balance;

import io.verbenacleat.router.server.BackendServer;
import org.jspecify.annotations.Nullable;

/**
 * A backend server with the load, latency and failure rate that this router has observed.
 * Immutable, except the model, which changes with the requests and reports of the server.
 *
 * @param server the server
 * @param load the estimated number of requests in flight at the server
 * @param latencyMs the exponentially smoothed time to the first byte in milliseconds
 * @param failureRate the exponentially smoothed fraction of failed sends, 0 to 1
 * @param sameZone whether the server is in the same availability zone as this router
 * @param model estimates the time to the first event, {@code null} if it is not estimated
 */
public record Candidate(BackendServer server, double load, double latencyMs, double failureRate, boolean sameZone,
		@Nullable ServerLoadModel model) {

	/**
	 * Creates a candidate whose time to the first event is not estimated.
	 * @param server the server
	 * @param load the estimated number of requests in flight at the server
	 * @param latencyMs the exponentially smoothed time to the first byte in milliseconds
	 * @param failureRate the exponentially smoothed fraction of failed sends, 0 to 1
	 * @param sameZone whether the server is in the same availability zone as this router
	 */
	public Candidate(BackendServer server, double load, double latencyMs, double failureRate, boolean sameZone) {
		this(server, load, latencyMs, failureRate, sameZone, null);
	}

}
