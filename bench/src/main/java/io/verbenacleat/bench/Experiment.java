package io.verbenacleat.bench;

import java.io.IOException;
import java.io.PrintStream;

/**
 * An experiment that {@code bin/experiment} can run. Implementations print a summary as
 * their last line.
 */
@FunctionalInterface
public interface Experiment {

	/**
	 * Runs the experiment.
	 * @param seed the seed of all random choices
	 * @param results writes the result files
	 * @param out receives result lines and the summary
	 * @return {@code true} if all required bounds were met
	 * @throws IOException if the results cannot be written
	 */
	boolean run(long seed, ResultFiles results, PrintStream out) throws IOException;

}
