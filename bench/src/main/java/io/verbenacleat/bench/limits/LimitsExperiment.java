package io.verbenacleat.bench.limits;

import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.verbenacleat.bench.Experiment;
import io.verbenacleat.bench.ResultFiles;

/**
 * Compares the queue of the agent with baselines under overload. Reports goodput, lost
 * requests of small workspaces, the delay of refusals, and how many retries arrive at the
 * same time. The experiment fails if a small workspace loses a request in the queue of
 * the agent while it is below its share, at the server or over all servers. Immutable.
 */
public final class LimitsExperiment implements Experiment {

	private static final String HEADER = "scenario,scheme,goodput_tokens_per_s,wasted_tokens_per_s,requests,finished,"
			+ "small_requests,small_lost,small_lost_below_server_share,small_lost_below_fleet_share,refusals,late_refusals,longest_refusal_ms,timeouts,start_p95_ms,"
			+ "peak_return_pct";

	private static final Duration WARM_UP = Duration.ofSeconds(60);

	private static final Duration RUN_DURATION = Duration.ofSeconds(660);

	private static final String BASE_SCENARIO = "100%";

	private static final int MANY_WORKSPACES = 10;

	private static final int FEW_WORKSPACES = 4;

	private static final int BURST = 400;

	private static final double GOODPUT_TOLERANCE = 0.05;

	private final Duration duration;

	/**
	 * Creates the experiment with runs of eleven simulated minutes.
	 */
	public LimitsExperiment() {
		this(RUN_DURATION);
	}

	LimitsExperiment(Duration duration) {
		this.duration = duration;
	}

	@Override
	public boolean run(long seed, ResultFiles results, PrintStream out) throws IOException {
		List<String> lines = new ArrayList<>();
		Map<String, Double> goodput = new LinkedHashMap<>();
		Map<String, Double> queueGoodput = new LinkedHashMap<>();
		long lost = 0;
		long longestRefusalMs = 0;
		double peak = 0;
		for (Scenario scenario : scenarios()) {
			for (Scheme scheme : Scheme.values()) {
				Outcomes outcomes = new LimitsRun(scenario, scheme, seed, WARM_UP, this.duration).run();
				double rate = perSecond(outcomes.finishedTokens);
				goodput.put(scenario.name() + " " + scheme.name().toLowerCase(Locale.ROOT), rate);
				if (scheme == Scheme.QUEUE) {
					queueGoodput.put(scenario.name(), rate);
					lost += outcomes.smallLostBelowServerShare + outcomes.smallLostBelowFleetShare;
					longestRefusalMs = Math.max(longestRefusalMs, outcomes.longestRefusalMs);
					peak = Math.max(peak, outcomes.peakRetryPercent());
				}
				String line = csvLine(scenario, scheme, outcomes);
				lines.add(line);
				out.println(line);
			}
		}
		results.writeCsv("limits", HEADER, lines);
		results.writeBarChart("limits", "Goodput, tokens/s", goodput);
		out.printf(Locale.ROOT,
				"limits seed=%d small_lost_below_share=%d goodput: %s longest_refusal_ms=%d peak_return_pct=%.1f%n",
				seed, lost, goalSummary(queueGoodput), longestRefusalMs, peak);
		return lost == 0;
	}

	private static String goalSummary(Map<String, Double> queueGoodput) {
		double base = queueGoodput.getOrDefault(BASE_SCENARIO, 0.0);
		String worst = queueGoodput.entrySet().stream().min(Map.Entry.comparingByValue()).orElseThrow().getKey();
		double share = queueGoodput.getOrDefault(worst, 0.0) / Math.max(1, base);
		return String.format(Locale.ROOT, "%s (%.1f%% of that at 100%% in the worst case, %s)",
				(share >= 1 - GOODPUT_TOLERANCE) ? "reached" : "missed", 100 * share, worst);
	}

	private static List<Scenario> scenarios() {
		return List.of(new Scenario(BASE_SCENARIO, 1, FEW_WORKSPACES, false, 0),
				new Scenario("150%", 1.5, FEW_WORKSPACES, false, 0), new Scenario("300%", 3, FEW_WORKSPACES, false, 0),
				new Scenario("150% of ten", 1.5, MANY_WORKSPACES, false, 0),
				new Scenario("150% large urgent", 1.5, FEW_WORKSPACES, true, 0),
				new Scenario("150% burst", 1.5, FEW_WORKSPACES, false, BURST));
	}

	private String csvLine(Scenario scenario, Scheme scheme, Outcomes outcomes) {
		return String.format(Locale.ROOT, "%s,%s,%.0f,%.0f,%d,%d,%d,%d,%d,%d,%d,%d,%d,%d,%d,%.1f", scenario.name(),
				scheme.name().toLowerCase(Locale.ROOT), perSecond(outcomes.finishedTokens),
				perSecond(outcomes.wastedTokens), outcomes.requests, outcomes.finished, outcomes.smallRequests,
				outcomes.smallLost, outcomes.smallLostBelowServerShare, outcomes.smallLostBelowFleetShare,
				outcomes.refusals, outcomes.lateRefusals, outcomes.longestRefusalMs, outcomes.timeouts,
				outcomes.startDelayMs.getValueAtPercentile(95), outcomes.peakRetryPercent());
	}

	private double perSecond(long tokens) {
		return tokens / (double) this.duration.minus(WARM_UP).toSeconds();
	}

}
