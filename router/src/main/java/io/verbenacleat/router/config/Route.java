package io.verbenacleat.router.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Requests of one host and path prefix, and how they are handled. Immutable; built by
 * {@link #builder}.
 *
 * @param name the name
 * @param host the host that callers name
 * @param pathPrefix the start of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMs the longest time that a request is kept waiting, in milliseconds
 * @param targetLatencyMs the time within which an answer is on time, in milliseconds
 * @param priority the rank, 0 is the most urgent
 * @param targets the services that take its requests
 * @param maxAttempts the most backend servers that a request is sent to, 1 or more
 * @param anonymous whether requests need no key
 * @param affinity whether requests carry prompt prefixes
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, long timeoutMs, long targetLatencyMs,
		int priority, List<WeightedTarget> targets, int maxAttempts, boolean anonymous, boolean affinity) {

	/**
	 * Creates a route from a copy of the list.
	 */
	public Route {
		targets = List.copyOf(targets);
	}

	/**
	 * Returns a builder with one attempt and a timeout of one minute.
	 * @param name the name
	 * @param host the host
	 * @param pathPrefix the start of the path
	 * @return a new builder
	 */
	public static Builder builder(String name, String host, String pathPrefix) {
		return new Builder(name, host, pathPrefix);
	}

	/**
	 * Selects the service for a request.
	 * @param draw a number from 0 inclusive to 1 exclusive
	 * @return the name of a service, empty when the route has none
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
	 * Collects the parts of a route. Not safe for use by several threads.
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
		 * Sets what may be repeated.
		 * @param kind the kind
		 * @return this builder
		 */
		public Builder kind(RequestKind kind) {
			this.kind = kind;
			return this;
		}

		/**
		 * Sets the times of a request.
		 * @param timeoutMs the longest wait in milliseconds, more than zero
		 * @param targetLatencyMs the time within which an answer is on time, in
		 * milliseconds
		 * @return this builder
		 */
		public Builder timing(long timeoutMs, long targetLatencyMs) {
			this.timeoutMs = timeoutMs;
			this.targetLatencyMs = targetLatencyMs;
			return this;
		}

		/**
		 * Sets the rank.
		 * @param priority the rank, 0 is the most urgent
		 * @return this builder
		 */
		public Builder priority(int priority) {
			this.priority = priority;
			return this;
		}

		/**
		 * Adds a service.
		 * @param service the name of the service
		 * @param weight its weight, zero or more
		 * @return this builder
		 */
		public Builder target(String service, double weight) {
			this.targets.add(new WeightedTarget(service, weight));
			return this;
		}

		/**
		 * Sets the most backend servers of a request.
		 * @param maxAttempts the count, 1 or more
		 * @return this builder
		 */
		public Builder maxAttempts(int maxAttempts) {
			this.maxAttempts = maxAttempts;
			return this;
		}

		/**
		 * Sets whether requests need no key.
		 * @param anonymous {@code true} when they need none
		 * @return this builder
		 */
		public Builder anonymous(boolean anonymous) {
			this.anonymous = anonymous;
			return this;
		}

		/**
		 * Sets whether requests carry prompt prefixes.
		 * @param affinity {@code true} when they do
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
