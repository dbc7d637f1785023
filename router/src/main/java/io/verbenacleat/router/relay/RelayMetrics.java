package io.verbenacleat.router.relay;

import java.util.Locale;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.router.config.RequestKind;

/**
 * The Prometheus metrics of the relay. Thread safe.
 */
final class RelayMetrics {

	private static final double MS_PER_SECOND = 1_000;

	private final Counter refusals;

	private final Counter retries;

	private final Counter sends;

	private final Counter evacuationSends;

	private final Counter loadPolls;

	private final Counter responses;

	private final Counter aborted;

	private final Counter serverEnds;

	private final Counter undelimitedEnds;

	private final Counter streamLookups;

	private final Counter responseFaults;

	private final Counter warmUpSends;

	private final Counter warmUpHeldBack;

	private final Counter invalidWarmUps;

	private final Gauge warmingUp;

	private final Gauge warmUpLeftSeconds;

	private final Histogram firstByteSeconds;

	private final Histogram expectedFirstEventSeconds;

	private final Histogram firstEventSeconds;

	private final Histogram firstEventErrorSeconds;

	private final Gauge inProgress;

	RelayMetrics(PrometheusRegistry registry) {
		this.refusals = Counter.builder()
			.name("verbena_router_refusals_total")
			.help("Requests that the router answered itself, by reason")
			.labelNames("reason")
			.register(registry);
		this.retries = Counter.builder()
			.name("verbena_router_repeats_total")
			.help("Requests that were sent to one more backend server, by reason")
			.labelNames("reason")
			.register(registry);
		this.sends = Counter.builder()
			.name("verbena_router_sends_total")
			.help("Requests that were sent to a backend server, repeats included")
			.register(registry);
		this.evacuationSends = Counter.builder()
			.name("verbena_router_evacuation_sends_total")
			.help("Requests that were sent while servers of their service were left out because of an evacuated zone")
			.register(registry);
		this.loadPolls = Counter.builder()
			.name("verbena_router_load_polls_total")
			.help("Requests for the load of a backend server")
			.register(registry);
		this.responses = Counter.builder()
			.name("verbena_router_answers_total")
			.help("Answers of backend servers that were relayed whole, by class of status")
			.labelNames("status")
			.register(registry);
		this.aborted = Counter.builder()
			.name("verbena_router_aborted_total")
			.help("Answers that ended early, by reason")
			.labelNames("reason")
			.register(registry);
		this.serverEnds = Counter.builder()
			.name("verbena_router_server_ends_total")
			.help("Closed connections with requests in flight, once a server, by the result of a new connection")
			.labelNames("new_connection")
			.register(registry);
		this.undelimitedEnds = Counter.builder()
			.name("verbena_router_undelimited_responses_total")
			.help("Responses without length or chunks that ended with their connection, by the check of the server")
			.labelNames("check")
			.register(registry);
		this.streamLookups = Counter.builder()
			.name("verbena_router_stream_lookups_total")
			.help("Searches for the software version that began a stream, by what the result is based on")
			.labelNames("source")
			.register(registry);
		this.responseFaults = Counter.builder()
			.name("verbena_router_response_faults_total")
			.help("Bytes of backend servers that are not the response to the request in progress, by kind")
			.labelNames("kind")
			.register(registry);
		this.warmUpSends = Counter.builder()
			.name("verbena_router_warm_up_sends_total")
			.help("Requests that were sent to a backend server while it warmed up")
			.register(registry);
		this.warmUpHeldBack = Counter.builder()
			.name("verbena_router_warm_up_held_back_total")
			.help("Selections in which a backend server was skipped because it warmed up and there was no permit")
			.register(registry);
		this.invalidWarmUps = Counter.builder()
			.name("verbena_router_warm_up_invalid_total")
			.help("Backend servers that stated a remaining warm-up time that cannot be used")
			.register(registry);
		this.warmingUp = Gauge.builder()
			.name("verbena_router_servers_warming_up")
			.help("Backend servers that warm up")
			.register(registry);
		this.warmUpLeftSeconds = Gauge.builder()
			.name("verbena_router_warm_up_left_seconds")
			.help("Time until the last of the backend servers has warmed up")
			.register(registry);
		this.firstByteSeconds = Histogram.builder()
			.name("verbena_router_first_byte_seconds")
			.help("Time from the request of the caller to the first byte of the answer, by kind of request")
			.labelNames("kind")
			.classicOnly()
			.register(registry);
		this.expectedFirstEventSeconds = Histogram.builder()
			.name("verbena_router_expected_first_event_seconds")
			.help("Time from the send to a model server to the first event, as expected at the send")
			.classicOnly()
			.register(registry);
		this.firstEventSeconds = Histogram.builder()
			.name("verbena_router_first_event_seconds")
			.help("Time from the send to a model server to the first event")
			.classicOnly()
			.register(registry);
		this.firstEventErrorSeconds = Histogram.builder()
			.name("verbena_router_first_event_error_seconds")
			.help("Difference between the expected and the observed time to the first event")
			.classicOnly()
			.register(registry);
		this.inProgress = Gauge.builder()
			.name("verbena_router_requests_in_progress")
			.help("Requests in progress")
			.register(registry);
	}

	void refused(Refusal refusal) {
		this.refusals.labelValues(refusal.name().toLowerCase(Locale.ROOT)).inc();
	}

	void retried(String reason) {
		this.retries.labelValues(reason).inc();
	}

	void sent() {
		this.sends.inc();
	}

	void sentDuringEvacuation() {
		this.evacuationSends.inc();
	}

	void loadPolled() {
		this.loadPolls.inc();
	}

	void responded(int status) {
		this.responses.labelValues(status / 100 + "xx").inc();
	}

	void aborted(String reason) {
		this.aborted.labelValues(reason).inc();
	}

	void serverEnded(String newConnection) {
		this.serverEnds.labelValues(newConnection).inc();
	}

	void undelimitedEnded(String check) {
		this.undelimitedEnds.labelValues(check).inc();
	}

	void streamLookedUp(String source) {
		this.streamLookups.labelValues(source).inc();
	}

	void responseFault(ResponseFault fault) {
		this.responseFaults.labelValues(fault.label()).inc();
	}

	void sentInWarmUp() {
		this.warmUpSends.inc();
	}

	void heldBack(long count) {
		this.warmUpHeldBack.inc(count);
	}

	void invalidWarmUp() {
		this.invalidWarmUps.inc();
	}

	void setWarmingUp(int servers, long leftMs) {
		this.warmingUp.set(servers);
		this.warmUpLeftSeconds.set(leftMs / MS_PER_SECOND);
	}

	void firstByte(RequestKind kind, long elapsedMs) {
		this.firstByteSeconds.labelValues(kind.name().toLowerCase(Locale.ROOT)).observe(elapsedMs / MS_PER_SECOND);
	}

	void firstEvent(double expectedMs, long elapsedMs) {
		this.expectedFirstEventSeconds.observe(expectedMs / MS_PER_SECOND);
		this.firstEventSeconds.observe(elapsedMs / MS_PER_SECOND);
		this.firstEventErrorSeconds.observe(Math.abs(expectedMs - elapsedMs) / MS_PER_SECOND);
	}

	void setInProgress(int count) {
		this.inProgress.set(count);
	}

}
