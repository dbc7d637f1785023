package io.verbenacleat.router.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Handling of the requests to one host and path prefix. Immutable. Use {@link #builder}
 * to create instances.
 *
 * @param name the name
 * @param host the host name in the requests
 * @param pathPrefix the path prefix, with a slash at both ends
 * @param kind the kind of request, which determines whether a request may be retried
 * @param timeoutMs the maximum time that a request waits, in milliseconds
 * @param targetLatencyMs the target for the latency of a response in milliseconds
 * @param priority the priority, 0 is the most urgent
 * @param targets the services that receive the requests
 * @param maxAttempts the maximum number of backend servers that a request is sent to, 1
 * or more
 * @param anonymous whether requests are accepted without a key
 * @param affinity whether requests carry prompt prefixes
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, long timeoutMs, long targetLatencyMs,
		int priority, List<WeightedTarget> targets, int maxAttempts, boolean anonymous, boolean affinity) {

	/**
	 * Creates a route with a copy of the list of targets.
	 */
	public Route {
		targets = List.copyOf(targets);
	}

	/**
	 * Returns a builder with one attempt, and with a timeout and a target latency of one
	 * minute.
	 * @param name the name
	 * @param host the host name in the requests
	 * @param pathPrefix the path prefix, with a slash at both ends
	 * @return a new builder
	 */
	public static Builder builder(String name, String host, String pathPrefix) {
		return new Builder(name, host, pathPrefix);
	}

	/**
	 * Selects the service for a request in proportion to the weights.
	 * @param draw a random number from 0 inclusive to 1 exclusive
	 * @return the name of a service, an empty string when the route has no targets
	 */
	public String selectService(double draw) {
		double total = this.targets.stream().mapToDouble(WeightedTarget::weight).sum();
		double remaining = draw * total;
		String selected = "";
		for (WeightedTarget target : this.targets) {
			if (target.weight() > 0 || selected.isEmpty()) {
				selected = target.service();
			}
			remaining -= target.weight();
			if (remaining < 0) {
				break;
			}
		}
		return selected;
	}

	/**
	 * Builds routes. Not safe for use by several threads.
	 */
	public static final class Builder {

		private static final long DEFAULT_TIMEOUT_MS = 60_000;

		private final String name;

		private final String host;

		private final String pathPrefix;

		private final List<WeightedTarget> targets = new ArrayList<>();

		private RequestKind kind = RequestKind.NOT_REPEATABLE;

		private long timeoutMs = DEFAULT_TIMEOUT_MS;

		private long targetLatencyMs = DEFAULT_TIMEOUT_MS;

		private int priority;

		private int maxAttempts = 1;

		private boolean anonymous;

		private boolean affinity;

		private Builder(String name, String host, String pathPrefix) {
			this.name = name;
			this.host = host;
			this.pathPrefix = pathPrefix;
		}

		/**
		 * Sets the kind of request.
		 * @param kind the kind
		 * @return this builder
		 */
		public Builder kind(RequestKind kind) {
			this.kind = kind;
			return this;
		}

		/**
		 * Sets the timeout and the target latency of requests.
		 * @param timeoutMs the maximum time that a request waits, in milliseconds, more
		 * than zero
		 * @param targetLatencyMs the target for the latency of a response in milliseconds
		 * @return this builder
		 */
		public Builder timing(long timeoutMs, long targetLatencyMs) {
			this.timeoutMs = timeoutMs;
			this.targetLatencyMs = targetLatencyMs;
			return this;
		}

		/**
		 * Sets the priority.
		 * @param priority the priority, 0 is the most urgent
		 * @return this builder
		 */
		public Builder priority(int priority) {
			this.priority = priority;
			return this;
		}

		/**
		 * Adds a target service.
		 * @param service the name of the service
		 * @param weight the weight relative to the other targets, zero or more
		 * @return this builder
		 */
		public Builder target(String service, double weight) {
			this.targets.add(new WeightedTarget(service, weight));
			return this;
		}

		/**
		 * Sets the maximum number of backend servers that a request is sent to.
		 * @param maxAttempts the count, 1 or more
		 * @return this builder
		 */
		public Builder maxAttempts(int maxAttempts) {
			this.maxAttempts = maxAttempts;
			return this;
		}

		/**
		 * Sets whether requests are accepted without a key.
		 * @param anonymous {@code true} if no key is required
		 * @return this builder
		 */
		public Builder anonymous(boolean anonymous) {
			this.anonymous = anonymous;
			return this;
		}

		/**
		 * Sets whether requests carry prompt prefixes.
		 * @param affinity {@code true} if requests carry prompt prefixes
		 * @return this builder
		 */
		public Builder affinity(boolean affinity) {
			this.affinity = affinity;
			return this;
		}

		/**
		 * Builds the route.
		 * @return the route
		 */
		public Route build() {
			return new Route(this.name, this.host, this.pathPrefix, this.kind, this.timeoutMs, this.targetLatencyMs,
					this.priority, this.targets, this.maxAttempts, this.anonymous, this.affinity);
		}

	}

}
