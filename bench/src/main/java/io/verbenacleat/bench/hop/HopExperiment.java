package io.verbenacleat.bench.hop;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.verbenacleat.bench.Experiment;
import io.verbenacleat.bench.ResultFiles;

/**
 * Compares direct calls to an engine with calls through one entry and one agent, at
 * several request rates. The seed is ignored, because requests are sent at fixed
 * intervals. Stateless.
 */
public final class HopExperiment implements Experiment {

	private static final String HEADER = "rate_per_s,round,path,complete,failed,first_p50_ms,first_p95_ms,"
			+ "first_p99_ms,gap_p50_ms,gap_p95_ms,gap_p99_ms,entry_cores,agent_cores,requests_per_core_s,"
			+ "streams_per_core";

	private static final int[] RATES_PER_SECOND = { 10, 25, 50, 100 };

	private static final int ROUNDS = 2;

	private static final int SECONDS = 8;

	private static final int WARM_UP_RATE_PER_SECOND = 50;

	private static final long BUDGET_TOKENS = 100_000_000;

	@Override
	public boolean run(long seed, ResultFiles results, PrintStream out) throws IOException {
		Path home = Path.of(System.getProperty("verbena.home", "."));
		List<String> lines = new ArrayList<>();
		Map<String, Double> addedMs = new LinkedHashMap<>();
		try (LocalFleet fleet = LocalFleet.start(home, BUDGET_TOKENS);
				OpenLoopLoad direct = new OpenLoopLoad(fleet.engineUrl(), fleet.apiKey());
				OpenLoopLoad routed = new OpenLoopLoad(fleet.entryUrl(), fleet.apiKey())) {
			direct.run(WARM_UP_RATE_PER_SECOND, SECONDS);
			routed.run(WARM_UP_RATE_PER_SECOND, SECONDS);
			for (int rate : RATES_PER_SECOND) {
				for (int round = 1; round <= ROUNDS; round++) {
					LoadTimes directTimes = direct.run(rate, SECONDS);
					lines.add(csvLine(rate, round, "direct", directTimes, 0, 0));
					double entrySeconds = fleet.entryCpuSeconds();
					double agentSeconds = fleet.agentCpuSeconds();
					LoadTimes routedTimes = routed.run(rate, SECONDS);
					lines.add(csvLine(rate, round, "routed", routedTimes, fleet.entryCpuSeconds() - entrySeconds,
							fleet.agentCpuSeconds() - agentSeconds));
					addedMs.put(rate + "/s, round " + round,
							routedTimes.firstTokenMs(95) - directTimes.firstTokenMs(95));
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("Interrupted", ex);
		}
		lines.forEach(out::println);
		results.writeCsv("hop", HEADER, lines);
		results.writeBarChart("hop", "Added time to the first token, p95, ms", addedMs);
		out.println("hop: " + lines.size() + " loads, added p95 to the first token " + addedMs);
		return true;
	}

	private static String csvLine(int rate, int round, String path, LoadTimes times, double entrySeconds,
			double agentSeconds) {
		double cores = (entrySeconds + agentSeconds) / SECONDS;
		double perCore = (cores > 0) ? rate / cores : 0;
		return String.format(Locale.ROOT, "%d,%d,%s,%d,%d,%.2f,%.2f,%.2f,%.2f,%.2f,%.2f,%.3f,%.3f,%.0f,%.0f", rate,
				round, path, times.completed(), times.failures(), times.firstTokenMs(50), times.firstTokenMs(95),
				times.firstTokenMs(99), times.gapMs(50), times.gapMs(95), times.gapMs(99), entrySeconds / SECONDS,
				agentSeconds / SECONDS, perCore, perCore * times.meanSeconds());
	}

}
