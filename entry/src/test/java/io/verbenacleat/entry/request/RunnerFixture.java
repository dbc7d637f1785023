package io.verbenacleat.entry.request;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.account.CallerKey;
import io.verbenacleat.core.config.BackendServerConfig;
import io.verbenacleat.core.config.BudgetConfig;
import io.verbenacleat.core.config.LimitsConfig;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.Membership;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.TransactionLimits;
import io.verbenacleat.core.rpc.Channels;
import io.verbenacleat.entry.EntryStateKeys;
import io.verbenacleat.proto.v1.ChatWork;
import io.verbenacleat.proto.v1.HttpWork;

/**
 * Creates request runners with a fake budget router, two fake agents for a model and one
 * for a plain service. The agent {@code first} is preferred for the model, because it is
 * at the site of the entry.
 */
final class RunnerFixture implements AutoCloseable {

	static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);

	final FakeAgent first = new FakeAgent("first");

	final FakeAgent second = new FakeAgent("second");

	final FakeAgent booking = new FakeAgent("booking");

	final FakeBudgetRouter budget = new FakeBudgetRouter();

	final InMemoryTableStore tables = new InMemoryTableStore(TransactionLimits.NONE);

	final DeadlineControlThread control = new DeadlineControlThread();

	final Blackboard blackboard = new Blackboard();

	final Channels channels = new Channels(FakeAgent.SECRET);

	volatile boolean agentsLost;

	private volatile PrometheusRegistry registry = new PrometheusRegistry();

	private final AtomicInteger requests = new AtomicInteger();

	RunnerFixture() throws IOException {
		this.blackboard.write(EntryStateKeys.CONFIG,
				new OfficeConfig(1, "office", "region", List.of(), List.of(),
						List.of(server("first", "model"), server("second", "model"), service("booking")),
						LimitsConfig.DEFAULT, BudgetConfig.DEFAULT));
		publish(this.first.member(), atOtherSite(this.second.member()), this.booking.member());
	}

	void publish(Member... members) {
		this.blackboard.write(EntryStateKeys.MEMBERS, new Membership(List.of(members)));
	}

	RequestRunner runner(String gateway) {
		return runner(gateway, this.tables);
	}

	RequestRunner runner(String gateway, TableStore store) {
		this.registry = new PrometheusRegistry();
		return DefaultRequestRunner.builder(gateway, "site")
			.control(this.control, this.blackboard)
			.budget(this.budget)
			.agents(this.channels, (agent) -> this.agentsLost)
			.tables(store)
			.registry(this.registry)
			.build();
	}

	/**
	 * Returns the value of a metric of the last runner, in the Prometheus text format.
	 * @param series the metric name with its labels
	 * @return the value, or an empty string if there is none
	 */
	String metric(String series) throws IOException {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		new PrometheusTextFormatWriter(false).write(out, this.registry.scrape());
		return out.toString(StandardCharsets.UTF_8)
			.lines()
			.filter((line) -> line.startsWith(series + " "))
			.map((line) -> line.substring(series.length() + 1))
			.findFirst()
			.orElse("");
	}

	RecordingListener run(CallerRequest request) {
		RecordingListener listener = new RecordingListener();
		runner("gateway-1").run(request, listener);
		return listener;
	}

	CallerRequest chat() {
		return new CallerRequest(requestId(), key(), ChatWork.newBuilder().setModel("model").build(), null, 100, true,
				null, "print", REQUEST_TIMEOUT);
	}

	CallerRequest booking(String idempotencyKey, String fingerprint) {
		HttpWork work = HttpWork.newBuilder().setService("bookings").setMethod("POST").build();
		return new CallerRequest(requestId(), key(), null, work, 10, false, idempotencyKey, fingerprint,
				REQUEST_TIMEOUT);
	}

	CallerRequest inquiry() {
		HttpWork work = HttpWork.newBuilder().setService("bookings").setMethod("GET").build();
		return new CallerRequest(requestId(), key(), null, work, 10, true, null, "print", REQUEST_TIMEOUT);
	}

	CallerRequest booking(String idempotencyKey) {
		return booking(idempotencyKey, "print");
	}

	static CallerKey key() {
		return CallerKey.create("account", new Random(7));
	}

	static Member atOtherSite(Member member) {
		return new Member(member.incarnation(), member.role(), member.address(), member.host(), member.region(),
				member.zone(), "other", member.backendServer(), member.fence(), member.startedAtMs());
	}

	private String requestId() {
		return "req-" + this.requests.incrementAndGet();
	}

	private static BackendServerConfig server(String name, String model) {
		return new BackendServerConfig(name, BackendServerConfig.Kind.MODEL_ENGINE, "http://127.0.0.1", "site",
				List.of(model), null, false);
	}

	private static BackendServerConfig service(String name) {
		return new BackendServerConfig(name, BackendServerConfig.Kind.SERVICE, "http://127.0.0.1", "site", List.of(),
				"bookings", false);
	}

	@Override
	public void close() {
		this.channels.close();
		this.control.close();
		this.first.close();
		this.second.close();
		this.booking.close();
	}

}
