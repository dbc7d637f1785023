package io.verbenacleat.bench.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One run of a policy in one case: entries with views of their own in front of fake
 * engines. Used once; not safe for use by several threads.
 */
final class RoutingRun {

	/** The size of one availability zone at the target scale. */
	static final int SERVERS = 100;

	static final int ENTRIES = 62;

	static final long WARM_UP_US = 60_000_000;

	static final long DURATION_US = 120_000_000;

	/** 300,000 tokens. */
	private static final int CACHE_BLOCKS = 300_000 / PromptGenerator.BLOCK_TOKENS;

	/** One way; the hop between processes of a site is very short. */
	private static final long HOP_US = 500;

	/** What a load report is old when it leaves the agent. */
	private static final long REPORT_LAG_US = 50_000;

	private static final long LOST_AT_US = 80_000_000;

	/** Peers and the host list need this long to remove a lost host from the members. */
	private static final long REMOVED_AFTER_US = 20_000_000;

	private static final long STATUS_INTERVAL_US = 1_000_000;

	/**
	 * The product asks each agent of its site every 2 s; a little more, so that the
	 * report before counts as old.
	 */
	private static final long ROUND_INTERVAL_US = 2_100_000;

	private static final int STATUS_CALLS = 10;

	private final VirtualTime time = new VirtualTime();

	private final RoutingCase routingCase;

	private final boolean reportsAtEnd;

	private final RoutingFigures figures = new RoutingFigures();

	private final FakeEngine[] engines = new FakeEngine[SERVERS];

	private final int[] laggedLoad = new int[SERVERS];

	private final List<EntryView> entries;

	private final CacheDirectory directory;

	RoutingRun(RoutingCase routingCase, PolicyFactory factory, long seed) {
		this.routingCase = routingCase;
		this.reportsAtEnd = factory.reportsAtEnd();
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.directory = new CacheDirectory(this.time, random);
		for (int i = 0; i < SERVERS; i++) {
			double slowness = (routingCase.slowServer() && i == 0) ? 3 : 1;
			this.engines[i] = new FakeEngine(this.time, slowness, new PrefixCache(CACHE_BLOCKS,
					factory.usesDirectory() ? this.directory.feed(i) : OwnMemory.IGNORED));
		}
		List<String> names = IntStream.range(0, SERVERS).mapToObj(ServerNames::name).toList();
		this.entries = new ArrayList<>();
		for (int i = 0; i < ENTRIES; i++) {
			this.entries
				.add(new EntryView(names, factory.maker().make(this.directory, random), random.nextInt(SERVERS)));
		}
	}

	/**
	 * Runs all requests to their end.
	 * @param requests the requests by arrival
	 * @return the figures of the requests after the warm-up
	 */
	RoutingFigures run(List<PromptRequest> requests) {
		requests.forEach((request) -> this.time.after(request.arrivalUs(), () -> dispatch(request)));
		for (int i = 0; i < ENTRIES; i++) {
			int entry = i;
			this.time.after(STATUS_INTERVAL_US * i / ENTRIES, () -> askStatus(this.entries.get(entry)));
		}
		this.time.after(0, this::sample);
		if (this.routingCase.lostServer()) {
			this.time.after(LOST_AT_US, () -> this.engines[1].die());
			this.time.after(LOST_AT_US + REMOVED_AFTER_US, () -> this.entries.forEach((entry) -> entry.removed(1)));
		}
		this.time.run();
		return this.figures;
	}

	private void dispatch(PromptRequest request) {
		EntryView entry = this.entries.get(request.entry());
		int server = entry.select(request.prompt(), this.time.nowUs());
		this.time.after(HOP_US, () -> arrive(request, entry, server));
	}

	private void arrive(PromptRequest request, EntryView entry, int server) {
		FakeEngine engine = this.engines[server];
		if (engine.isGone()) {
			this.time.after(HOP_US, () -> {
				this.figures.refused++;
				entry.failed(server, this.time.nowUs());
				dispatch(request);
			});
			return;
		}
		engine.submit(request, new OrderListener(request, entry, server));
	}

	private void askStatus(EntryView entry) {
		if (this.time.nowUs() >= DURATION_US) {
			return;
		}
		int calls = (this.reportsAtEnd) ? STATUS_CALLS : SERVERS;
		for (int server : entry.unheard(calls, this.time.nowUs())) {
			this.time.after(HOP_US, () -> report(entry, server));
		}
		this.time.after((this.reportsAtEnd) ? STATUS_INTERVAL_US : ROUND_INTERVAL_US, () -> askStatus(entry));
	}

	private void report(EntryView entry, int server) {
		if (!this.engines[server].isGone()) {
			int load = this.laggedLoad[server];
			this.time.after(HOP_US, () -> entry.reported(server, load, this.time.nowUs()));
		}
	}

	private void sample() {
		for (int i = 0; i < SERVERS; i++) {
			this.laggedLoad[i] = this.engines[i].inProgress();
			if (this.time.nowUs() >= WARM_UP_US && !this.engines[i].isGone()) {
				this.figures.load(this.laggedLoad[i]);
			}
		}
		if (this.time.nowUs() < DURATION_US) {
			this.time.after(REPORT_LAG_US, this::sample);
		}
	}

	/**
	 * One order.
	 */
	private final class OrderListener implements FakeEngine.Listener {

		private final PromptRequest request;

		private final EntryView entry;

		private final int server;

		private long firstTokenAtUs;

		private OrderListener(PromptRequest request, EntryView entry, int server) {
			this.request = request;
			this.entry = entry;
			this.server = server;
		}

		private boolean isMeasured() {
			return this.request.arrivalUs() >= WARM_UP_US;
		}

		@Override
		public void firstToken(int cachedTokens) {
			this.firstTokenAtUs = RoutingRun.this.time.nowUs();
			if (isMeasured()) {
				RoutingRun.this.figures.firstToken(this.firstTokenAtUs + HOP_US - this.request.arrivalUs(),
						this.request.promptTokens(), cachedTokens);
			}
		}

		@Override
		public void ended() {
			if (isMeasured() && this.request.answerTokens() > 1) {
				RoutingRun.this.figures.betweenTokens(
						(RoutingRun.this.time.nowUs() - this.firstTokenAtUs) / (this.request.answerTokens() - 1));
			}
			if (RoutingRun.this.reportsAtEnd) {
				report(this.entry, this.server);
			}
			else {
				this.entry.ended(this.server);
			}
		}

		@Override
		public void broken() {
			RoutingRun.this.figures.broken++;
			this.entry.failed(this.server, RoutingRun.this.time.nowUs());
		}

	}

}
