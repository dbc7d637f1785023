package io.verbenacleat.itest;

import java.time.Duration;
import java.util.SplittableRandom;

import io.verbenacleat.core.daemon.SettingsParser;
import io.verbenacleat.core.daemon.UsageException;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/**
 * Main class of the program {@code soak}, which runs randomly chosen scenarios until the
 * time limit or the first failure. The seed determines the scenarios and their seeds.
 */
public final class Soak {

	private Soak() {
	}

	/**
	 * Runs the program and exits with code 0 when all checks passed, 1 when one failed, 2
	 * when a flag is invalid.
	 * @param args the command-line arguments
	 */
	public static void main(String[] args) {
		Settings settings = new Settings();
		try {
			new SettingsParser("soak", System.getenv()).parse(settings, args);
			if (settings.minutes < 0 || settings.minutes > 24 * 60) {
				throw new UsageException("--minutes: found " + settings.minutes + ", allowed is 0 to 1440");
			}
		}
		catch (UsageException ex) {
			System.err.println("soak: " + ex.getMessage());
			System.exit(2);
		}
		System.out.println("seed " + settings.seed);
		System.exit((run(settings)) ? 0 : 1);
	}

	private static boolean run(Settings settings) {
		SplittableRandom random = new SplittableRandom(settings.seed);
		long endNanos = System.nanoTime() + Duration.ofMinutes(settings.minutes).toNanos();
		int runs = 0;
		do {
			Scenario scenario = (settings.scenario != null) ? settings.scenario
					: Scenario.values()[random.nextInt(Scenario.values().length)];
			long seed = (settings.scenario != null) ? settings.seed + runs : random.nextLong() & Long.MAX_VALUE;
			try {
				scenario.run(seed);
			}
			catch (Exception | AssertionError ex) {
				System.out.println("soak: " + scenario + " seed " + seed + " failed: " + ex);
				return false;
			}
			runs++;
		}
		while (System.nanoTime() < endNanos);
		System.out.println("soak: " + runs + " scenarios, all checks held");
		return true;
	}

	/**
	 * The command-line flags.
	 */
	static final class Settings {

		/** The seed of all random choices. */
		@Option(name = "--seed", metaVar = "N", usage = "seed of all choices (default 1)")
		long seed = 1;

		/**
		 * The only scenario to run, with ascending seeds; {@code null} for all scenarios.
		 */
		@Option(name = "--scenario", metaVar = "NAME", usage = "run only this scenario, with ascending seeds")
		@Nullable
		Scenario scenario;

		/** The time in minutes after which no further scenario starts. */
		@Option(name = "--minutes", metaVar = "M", usage = "no scenario starts after this time, 0 for one (default 5)")
		int minutes = 5;

	}

}
