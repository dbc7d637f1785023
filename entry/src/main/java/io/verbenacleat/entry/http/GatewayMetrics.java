package io.verbenacleat.entry.http;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.entry.request.Refusal;

/**
 * The metrics of the HTTP gateway. Safe for use by several threads.
 */
final class GatewayMetrics {

	private final Counter requests;

	private final Counter refusals;

	private final Counter callersGone;

	GatewayMetrics(PrometheusRegistry registry, Admission admission) {
		this.requests = Counter.builder()
			.name("verbena_gateway_requests")
			.help("Requests by kind")
			.labelNames("kind")
			.register(registry);
		this.refusals = Counter.builder()
			.name("verbena_gateway_refusals")
			.help("Requests that got no normal answer, by code and outcome")
			.labelNames("code", "outcome")
			.register(registry);
		this.callersGone = Counter.builder()
			.name("verbena_gateway_callers_gone")
			.help("Callers that went away before the end of their answer")
			.register(registry);
		GaugeWithCallback.builder()
			.name("verbena_gateway_requests_in_progress")
			.help("Requests in progress")
			.callback((callback) -> callback.call(admission.inProgress()))
			.register(registry);
	}

	void countRequest(String kind) {
		this.requests.labelValues(kind).inc();
	}

	void countRefusal(Refusal refusal) {
		this.refusals.labelValues(refusal.code().code(), refusal.outcome().text()).inc();
	}

	void countCallerGone() {
		this.callersGone.inc();
	}

}
