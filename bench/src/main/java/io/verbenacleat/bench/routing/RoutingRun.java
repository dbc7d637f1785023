package io.verbenacleat.bench.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One run of a policy in one case. Simulated entries, each with its own load data, send
 * requests to fake engines. Used for one run. Not safe for use by several threads.
 */
final class RoutingRun {

	/** The number of servers of one availability zone at the target scale. */
	static final int SERVERS = 100;

	static final int ENTRIES = 62;

	static final long WARM_UP_US = 60_000_000;

	static final long DURATION_US = 120_000_000;

	/** The cache of an engine holds 300,000 tokens. */
	private static final int CACHE_BLOCKS = 300_000 / PromptGenerator.BLOCK_TOKENS;

	/** The one-way delay between two processes of a site. */
	private static final long HOP_US = 500;

	/**
	 * The interval at which agents sample their load, so the maximum age of a sample when
	 * it is reported.
	 */
	private static final long LOAD_SAMPLE_INTERVAL_US = 50_000;

	private static final long CRASH_AT_US = 80_000_000;

	/**
	 * The time that peers and the host list need to remove a crashed host from the
	 * members.
	 */
	private static final long REMOVAL_DELAY_US = 20_000_000;

	private static final long STATUS_INTERVAL_US = 1_000_000;

	/**
	 * The product polls each agent of its site every 2 s. The interval is slightly
	 * longer, so that the previous report no longer counts as recent.
	 */
	private static final long POLL_ALL_INTERVAL_US = 2_100_000;

	private static final int MAX_STATUS_CALLS = 10;

	private final VirtualTime time = new VirtualTime();

	private final RoutingCase routingCase;

	private final boolean reportsAtEnd;

	private final RoutingStatistics statistics = new RoutingStatistics();

	private final FakeEngine[] engines = new FakeEngine[SERVERS];

	private final int[] sampledLoad = new int[SERVERS];

	private final List<SimulatedEntry> entries;

	private final CacheDirectory directory;

	RoutingRun(RoutingCase routingCase, PolicyFactory factory, long seed) {
		this.routingCase = routingCase;
		this.reportsAtEnd = factory.reportsAtEnd();
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.directory = new CacheDirectory(this.time, random);
		for (int i = 0; i < SERVERS; i++) {
			double slowdown = (routingCase.slowServer() && i == 0) ? 3 : 1;
			this.engines[i] = new FakeEngine(this.time, slowdown, new PrefixCache(CACHE_BLOCKS,
					factory.usesDirectory() ? this.directory.listenerOf(i) : SentPrefixes.NO_LISTENER));
		}
		List<String> names = IntStream.range(0, SERVERS).mapToObj(ServerNames::name).toList();
		this.entries = new ArrayList<>();
		for (int i = 0; i < ENTRIES; i++) {
			this.entries.add(new SimulatedEntry(names, factory.creator().create(this.directory, random),
					random.nextInt(SERVERS)));
		}
	}

	/**
	 * Runs all requests until they end.
	 * @param requests the requests in order of arrival
	 * @return the statistics of the requests after the warm-up
	 */
	RoutingStatistics run(List<PromptRequest> requests) {
		requests.forEach((request) -> this.time.schedule(request.arrivalUs(), () -> dispatch(request)));
		for (int i = 0; i < ENTRIES; i++) {
			int entry = i;
			this.time.schedule(STATUS_INTERVAL_US * i / ENTRIES, () -> pollStatus(this.entries.get(entry)));
		}
		this.time.schedule(0, this::sampleLoads);
		if (this.routingCase.lostServer()) {
			this.time.schedule(CRASH_AT_US, () -> this.engines[1].crash());
			this.time.schedule(CRASH_AT_US + REMOVAL_DELAY_US,
					() -> this.entries.forEach((entry) -> entry.removeServer(1)));
		}
		this.time.run();
		return this.statistics;
	}

	private void dispatch(PromptRequest request) {
		SimulatedEntry entry = this.entries.get(request.entry());
		int server = entry.select(request.prompt(), this.time.nowUs());
		this.time.schedule(HOP_US, () -> onArrival(request, entry, server));
	}

	private void onArrival(PromptRequest request, SimulatedEntry entry, int server) {
		FakeEngine engine = this.engines[server];
		if (engine.isCrashed()) {
			this.time.schedule(HOP_US, () -> {
				this.statistics.refused++;
				entry.orderFailed(server, this.time.nowUs());
				dispatch(request);
			});
			return;
		}
		engine.submit(request, new OrderListener(request, entry, server));
	}

	private void pollStatus(SimulatedEntry entry) {
		if (this.time.nowUs() >= DURATION_US) {
			return;
		}
		int calls = (this.reportsAtEnd) ? MAX_STATUS_CALLS : SERVERS;
		for (int server : entry.serversToPoll(calls, this.time.nowUs())) {
			this.time.schedule(HOP_US, () -> report(entry, server));
		}
		this.time.schedule((this.reportsAtEnd) ? STATUS_INTERVAL_US : POLL_ALL_INTERVAL_US, () -> pollStatus(entry));
	}

	private void report(SimulatedEntry entry, int server) {
		if (!this.engines[server].isCrashed()) {
			int load = this.sampledLoad[server];
			this.time.schedule(HOP_US, () -> entry.addReport(server, load, this.time.nowUs()));
		}
	}

	private void sampleLoads() {
		for (int i = 0; i < SERVERS; i++) {
			this.sampledLoad[i] = this.engines[i].inProgress();
			if (this.time.nowUs() >= WARM_UP_US && !this.engines[i].isCrashed()) {
				this.statistics.recordLoad(this.sampledLoad[i]);
			}
		}
		if (this.time.nowUs() < DURATION_US) {
			this.time.schedule(LOAD_SAMPLE_INTERVAL_US, this::sampleLoads);
		}
	}

	/**
	 * Records the events of one order and reports the load to its entry.
	 */
	private final class OrderListener implements FakeEngine.Listener {

		private final PromptRequest request;

		private final SimulatedEntry entry;

		private final int server;

		private long firstTokenAtUs;

		private OrderListener(PromptRequest request, SimulatedEntry entry, int server) {
			this.request = request;
			this.entry = entry;
			this.server = server;
		}

		private boolean isMeasured() {
			return this.request.arrivalUs() >= WARM_UP_US;
		}

		@Override
		public void onFirstToken(int cachedTokens) {
			this.firstTokenAtUs = RoutingRun.this.time.nowUs();
			if (isMeasured()) {
				RoutingRun.this.statistics.recordFirstToken(this.firstTokenAtUs + HOP_US - this.request.arrivalUs(),
						this.request.promptTokens(), cachedTokens);
			}
		}

		@Override
		public void onEnded() {
			if (isMeasured() && this.request.answerTokens() > 1) {
				RoutingRun.this.statistics.recordBetweenTokens(
						(RoutingRun.this.time.nowUs() - this.firstTokenAtUs) / (this.request.answerTokens() - 1));
			}
			if (RoutingRun.this.reportsAtEnd) {
				report(this.entry, this.server);
			}
			else {
				this.entry.orderEnded(this.server);
			}
		}

		@Override
		public void onConnectionBroken() {
			RoutingRun.this.statistics.broken++;
			this.entry.orderFailed(this.server, RoutingRun.this.time.nowUs());
		}

	}

}
