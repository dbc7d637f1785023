package io.verbenacleat.router.config;

import org.jspecify.annotations.Nullable;

/**
 * A service that backend servers provide. Immutable.
 *
 * @param name the name
 * @param maxConnections the maximum number of connections that a server accepts in total
 * @param modelService whether the servers run language models
 * @param tokensPerEvent the number of tokens in one event of a stream, 1 or more
 * @param warmUp how the servers warm up, {@code null} if they don't, and in messages of
 * older routers
 */
public record Service(String name, int maxConnections, boolean modelService, int tokensPerEvent,
		@Nullable WarmUp warmUp) {

	/**
	 * Creates a service whose servers don't warm up.
	 * @param name the name
	 * @param maxConnections the maximum number of connections that a server accepts
	 * @param modelService whether the servers run language models
	 * @param tokensPerEvent the number of tokens in one event of a stream
	 */
	public Service(String name, int maxConnections, boolean modelService, int tokensPerEvent) {
		this(name, maxConnections, modelService, tokensPerEvent, null);
	}

	/**
	 * How the servers of a service warm up. Immutable.
	 *
	 * @param startMs how long a server warms up after its start, in milliseconds
	 * @param requestsPerS the requests per second that it tolerates meanwhile, more than
	 * 0
	 */
	public record WarmUp(long startMs, double requestsPerS) {
	}

}
