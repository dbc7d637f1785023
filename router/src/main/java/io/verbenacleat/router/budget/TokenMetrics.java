package io.verbenacleat.router.budget;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The Prometheus metrics of the tokens that routers exchange. Thread safe.
 */
final class TokenMetrics {

	private final Counter refills;

	private final Counter borrowedTokens;

	private final Counter lentTokens;

	private final Counter conflicts;

	TokenMetrics(PrometheusRegistry registry) {
		this.refills = Counter.builder()
			.name("verbena_router_refills_total")
			.help("Requests for tokens of a workspace to its primary router, by outcome")
			.labelNames("outcome")
			.register(registry);
		this.borrowedTokens = Counter.builder()
			.name("verbena_router_borrowed_tokens_total")
			.help("Tokens that other routers lent or transferred to this one")
			.register(registry);
		this.lentTokens = Counter.builder()
			.name("verbena_router_lent_tokens_total")
			.help("Tokens that this router lent to others")
			.register(registry);
		this.conflicts = Counter.builder()
			.name("verbena_router_grant_conflicts_total")
			.help("Writes of shared rows that failed because another router had changed a row")
			.register(registry);
	}

	/**
	 * Records the outcome of a request to a primary router.
	 * @param wantedTokens the tokens that were asked for
	 * @param lentTokens the tokens that were lent
	 */
	void refilled(long wantedTokens, long lentTokens) {
		this.refills.labelValues((lentTokens >= wantedTokens) ? "full" : (lentTokens > 0) ? "partial" : "none").inc();
	}

	void refillFailed() {
		this.refills.labelValues("failed").inc();
	}

	void borrowed(long tokens) {
		this.borrowedTokens.inc(tokens);
	}

	void lent(long tokens) {
		this.lentTokens.inc(tokens);
	}

	void conflict() {
		this.conflicts.inc();
	}

}
