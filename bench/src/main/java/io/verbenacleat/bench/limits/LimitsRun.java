package io.verbenacleat.bench.limits;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import io.verbenacleat.core.control.ManualControlThread;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One run of a scheme in a scenario. Requests arrive at exponentially distributed
 * intervals, and each is sent to the less loaded of two random servers. Refused callers
 * retry after the Retry-After, up to three attempts. Each scheme gets the same requests
 * for the same seed. Not safe for use by several threads.
 */
final class LimitsRun {

	static final int SERVERS = 8;

	private static final double MEAN_ANSWER_TOKENS = 371;

	private static final int MIN_PROMPT_TOKENS = 200;

	private static final int MAX_TO_MIN_PROMPT_RATIO = 40;

	private static final int URGENT_PRIORITY = 1;

	private static final int NORMAL_PRIORITY = 5;

	private static final int SAMPLES = 20_000;

	private final Scenario scenario;

	private final ManualControlThread control = new ManualControlThread(Instant.EPOCH);

	private final List<FakeServer> servers = new ArrayList<>();

	private final Outcomes outcomes;

	private final UniformRandomProvider random;

	private final UniformRandomProvider choices;

	private final ZigguratSampler.Exponential exponential;

	private final long warmUpMs;

	private final long durationMs;

	private final double meanIntervalMs;

	LimitsRun(Scenario scenario, Scheme scheme, long seed, Duration warmUp, Duration duration) {
		this.scenario = scenario;
		this.warmUpMs = warmUp.toMillis();
		this.durationMs = duration.toMillis();
		this.outcomes = new Outcomes(this.warmUpMs);
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.choices = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1);
		this.exponential = ZigguratSampler.Exponential.of(this.random);
		for (int i = 0; i < SERVERS; i++) {
			this.servers.add(new FakeServer(this.control, scheme, seed + i, this.outcomes, this::dispatch));
		}
		this.meanIntervalMs = meanSteps() * FakeServer.stepMs(FakeServer.FULL_BATCH) / FakeServer.FULL_BATCH / SERVERS
				/ scenario.load();
	}

	Outcomes run() {
		scheduleNext();
		this.control.schedule(Duration.ofMillis((this.warmUpMs + this.durationMs) / 2), () -> {
			for (int i = 0; i < this.scenario.burst(); i++) {
				dispatch(draw(0, true));
			}
		});
		this.control.advance(Duration.ofMillis(this.durationMs));
		return this.outcomes;
	}

	private void scheduleNext() {
		long intervalNanos = Math.round(this.exponential.sample() * this.meanIntervalMs * 1_000_000);
		this.control.schedule(Duration.ofNanos(intervalNanos), () -> {
			dispatch(draw(drawWorkspace(), false));
			scheduleNext();
		});
	}

	private void dispatch(SimRequest request) {
		this.outcomes.recordArrival(request);
		FakeServer first = this.servers.get(this.choices.nextInt(SERVERS));
		FakeServer second = this.servers.get(this.choices.nextInt(SERVERS));
		FakeServer target = (first.inProgress() <= second.inProgress()) ? first : second;
		target.offer(request.withBelowShare(belowShare(request.workspace(), target)));
	}

	private SimRequest.BelowShare belowShare(int workspace, FakeServer target) {
		double share = (double) FakeServer.FULL_BATCH / this.scenario.workspaces();
		if (target.inProgressOf(workspace) < share) {
			return SimRequest.BelowShare.SERVER;
		}
		int inProgressAtAllServers = this.servers.stream().mapToInt((server) -> server.inProgressOf(workspace)).sum();
		return (inProgressAtAllServers < share * SERVERS) ? SimRequest.BelowShare.FLEET : SimRequest.BelowShare.NOWHERE;
	}

	private int drawWorkspace() {
		int drawn = this.random.nextInt(Scenario.LARGE_FACTOR + this.scenario.workspaces() - 1);
		return Math.max(0, drawn - Scenario.LARGE_FACTOR + 1);
	}

	private SimRequest draw(int workspace, boolean inBurst) {
		int prompt = (int) (MIN_PROMPT_TOKENS * Math.pow(MAX_TO_MIN_PROMPT_RATIO, this.random.nextDouble()));
		int answer = (int) Math.min(SimRequest.MAX_ANSWER_TOKENS, 1 + this.exponential.sample() * MEAN_ANSWER_TOKENS);
		int priority = (this.scenario.largeIsUrgent() && workspace == 0) ? URGENT_PRIORITY : NORMAL_PRIORITY;
		return new SimRequest(workspace, priority, prompt, answer, this.control.clock().millis(), 1, inBurst,
				SimRequest.BelowShare.NOWHERE);
	}

	private double meanSteps() {
		double sum = 0;
		for (int i = 0; i < SAMPLES; i++) {
			sum += draw(0, false).steps();
		}
		return sum / SAMPLES;
	}

}
