package io.verbenacleat.bench.evenload;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import io.verbenacleat.bench.Experiment;
import io.verbenacleat.bench.ResultFiles;
import io.verbenacleat.bench.evenload.LoadCase.EngineSpeed;
import io.verbenacleat.router.balance.ExpectedTimeSelection.Weights;

/**
 * Compares policies of the router that select backend servers from old load reports.
 * Stateless.
 */
public final class EvenLoadExperiment implements Experiment {

	private static final int PARALLEL_RUNS = 3;

	private static final long DURATION_US = 15_000_000;

	private static final EngineSpeed FAST = new EngineSpeed(3_550, 60, 157);

	private static final EngineSpeed SLOW = new EngineSpeed(4_700, 60, 52);

	private static final List<PromptKind> KINDS_A = List.of(new PromptKind(6_300, 2_890, 112, 187 / 30.0, 315, 48),
			new PromptKind(198, 628, 576, 161 / 30.0, 257, 24));

	private static final List<PromptKind> KINDS_B = List.of(new PromptKind(6_300, 2_890, 144, 52 / 29.0, 1_215, 48),
			new PromptKind(198, 628, 784, 177 / 29.0, 407, 24));

	@Override
	public boolean run(long seed, ResultFiles results, PrintStream out) throws IOException {
		List<String> lines = new ArrayList<>();
		ExecutorService threads = Executors.newFixedThreadPool(PARALLEL_RUNS);
		try {
			List<CompletableFuture<String>> runs = new ArrayList<>();
			for (LoadCase loadCase : cases()) {
				for (Contender contender : contenders()) {
					runs.add(CompletableFuture.supplyAsync(() -> {
						LoadStatistics statistics = new LoadRun(loadCase, contender, seed, DURATION_US).run();
						return statistics.csvLine(loadCase.name(), contender.name());
					}, threads));
				}
			}
			out.println(LoadStatistics.HEADER);
			for (CompletableFuture<String> run : runs) {
				lines.add(run.join());
				out.println(lines.get(lines.size() - 1));
			}
		}
		finally {
			threads.shutdownNow();
		}
		results.writeCsv("even-load", LoadStatistics.HEADER, lines);
		return true;
	}

	private static List<LoadCase> cases() {
		List<LoadCase> cases = new ArrayList<>();
		cases.add(new LoadCase("4x8 a", 4, 8, FAST, KINDS_A, 1.5, 0));
		cases.add(new LoadCase("22x30 a", 22, 30, FAST, KINDS_A, 1, 0));
		cases.add(new LoadCase("22x30 a heavy", 22, 30, FAST, KINDS_A, 1.5, 0));
		cases.add(new LoadCase("22x30 b heavy", 22, 30, SLOW, KINDS_B, 1.5, 0));
		if (System.getProperty("big") != null) {
			cases.add(new LoadCase("240x600 a heavy", 240, 600, FAST, KINDS_A, 1.5, 0));
		}
		return cases;
	}

	private static List<Contender> contenders() {
		List<Contender> all = new ArrayList<>();
		all.add(Contender.present());
		for (String spec : System.getProperty("w", "1:0.2:50:2").split(",")) {
			String[] p = spec.split(":");
			all.add(Contender.expected(spec, new Weights(Double.parseDouble(p[0]), Double.parseDouble(p[1]),
					Double.parseDouble(p[2]), Double.parseDouble(p[3])), p.length > 4));
		}
		return all;
	}

}
