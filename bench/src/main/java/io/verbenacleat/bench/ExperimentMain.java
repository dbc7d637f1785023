package io.verbenacleat.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

import io.verbenacleat.bench.control.ControlExperiment;
import io.verbenacleat.bench.evenload.EvenLoadExperiment;
import io.verbenacleat.bench.grants.GrantsExperiment;
import io.verbenacleat.bench.hop.HopExperiment;
import io.verbenacleat.bench.hotkeys.HotKeysExperiment;
import io.verbenacleat.bench.limits.LimitsExperiment;
import io.verbenacleat.bench.routing.RoutingExperiment;
import io.verbenacleat.bench.weights.WeightsExperiment;
import io.verbenacleat.core.daemon.ExitCode;
import io.verbenacleat.core.daemon.SettingsParser;
import io.verbenacleat.core.daemon.UsageException;

/**
 * The main class of {@code bin/experiment}. The exit code is 1 if the experiment violated
 * a bound or failed with an I/O error, and 2 on invalid usage.
 */
public final class ExperimentMain {

	private static final Map<String, Experiment> EXPERIMENTS = new TreeMap<>(
			Map.of("control", new ControlExperiment(), "even-load", new EvenLoadExperiment(), "grants",
					new GrantsExperiment(), "hop", new HopExperiment(), "hot-keys", new HotKeysExperiment(), "limits",
					new LimitsExperiment(), "routing", new RoutingExperiment(), "weights", new WeightsExperiment()));

	private ExperimentMain() {
	}

	/**
	 * Runs one experiment and exits.
	 * @param args the name of the experiment and the flags
	 */
	public static void main(String[] args) {
		System.setProperty("java.awt.headless", "true");
		System.exit(run(args).code());
	}

	static ExitCode run(String... args) {
		ExperimentSettings settings = new ExperimentSettings();
		try {
			new SettingsParser("experiment", Map.of()).parse(settings, args);
		}
		catch (UsageException ex) {
			System.err.println("experiment: " + ex.getMessage());
			return ExitCode.USAGE;
		}
		Experiment experiment = EXPERIMENTS.get(settings.name);
		if (experiment == null) {
			System.err
				.println("experiment: unknown experiment '" + settings.name + "'; allowed are " + EXPERIMENTS.keySet());
			return ExitCode.USAGE;
		}
		try {
			String command = "bin/experiment " + settings.name + " --seed " + settings.seed;
			ResultFiles results = new ResultFiles(Path.of(settings.out), command);
			return (experiment.run(settings.seed, results, System.out)) ? ExitCode.DONE : ExitCode.FAILED;
		}
		catch (IOException ex) {
			System.err.println("experiment: " + ex.getMessage());
			return ExitCode.FAILED;
		}
	}

}
