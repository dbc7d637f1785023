package io.verbenacleat.entry.dispatch;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The metrics of requests, orders and claims. Safe for use by several threads.
 */
public final class RunMetrics {

	private final Counter refusals;

	private final Counter retries;

	private final Counter deniedRetries;

	private final Counter orders;

	private final Counter claims;

	private final Gauge resolving;

	/**
	 * Registers the metrics.
	 * @param registry the registry, which must not contain metrics of the same names
	 */
	public RunMetrics(PrometheusRegistry registry) {
		this.refusals = counter(registry, "verbena_refusals_total", "Requests refused or failed", "code");
		this.retries = counter(registry, "verbena_retries_total", "Orders sent again to another agent", "reason");
		this.deniedRetries = counter(registry, "verbena_retries_denied_total", "Retries over the retry budget",
				"reason");
		this.orders = counter(registry, "verbena_orders_total", "Orders by their known end", "result");
		this.claims = counter(registry, "verbena_claims_total", "Claims of requests that may not be repeated",
				"result");
		this.resolving = Gauge.builder()
			.name("verbena_orders_resolving")
			.help("Orders whose fate is being resolved in the background")
			.register(registry);
	}

	private static Counter counter(PrometheusRegistry registry, String name, String help, String label) {
		return Counter.builder().name(name).help(help).labelNames(label).register(registry);
	}

	/**
	 * Counts a refusal.
	 * @param code the code that is sent to the caller
	 */
	public void refused(String code) {
		this.refusals.labelValues(code).inc();
	}

	/**
	 * Counts a retry.
	 * @param reason the reason why the previous order was not run
	 */
	public void retried(String reason) {
		this.retries.labelValues(reason).inc();
	}

	/**
	 * Counts a retry that the retry budget did not allow.
	 * @param reason the reason why the previous order was not run
	 */
	public void retryDenied(String reason) {
		this.deniedRetries.labelValues(reason).inc();
	}

	/**
	 * Counts an order when its execution ends.
	 * @param result the result, as label value
	 */
	public void order(String result) {
		this.orders.labelValues(result).inc();
	}

	/**
	 * Counts the result of an operation on a claim.
	 * @param result the result, as label value
	 */
	public void claim(String result) {
		this.claims.labelValues(result).inc();
	}

	/**
	 * Counts an order as being resolved in the background.
	 */
	public void resolvingStarted() {
		this.resolving.inc();
	}

	/**
	 * Counts an order as no longer being resolved in the background.
	 */
	public void resolvingEnded() {
		this.resolving.dec();
	}

}
