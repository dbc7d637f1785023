package io.verbenacleat.bench;

import java.io.IOException;
import java.io.PrintStream;

/**
 * One experiment. Implementations print a summary as their last line.
 */
@FunctionalInterface
public interface Experiment {

	/**
	 * Runs the experiment.
	 * @param seed the seed of all random choices
	 * @param results takes the results
	 * @param out takes the summary
	 * @return {@code false} when a bound was broken
	 * @throws IOException when the results cannot be written
	 */
	boolean run(long seed, ResultFiles results, PrintStream out) throws IOException;

}
