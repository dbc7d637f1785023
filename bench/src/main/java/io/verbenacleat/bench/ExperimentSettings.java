package io.verbenacleat.bench;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * The command line options of {@code bin/experiment}. The fields are set by args4j.
 */
final class ExperimentSettings {

	@Argument(metaVar = "NAME", required = true, usage = "the experiment")
	String name = "";

	@Option(name = "--seed", metaVar = "N", required = true, usage = "seed of all random choices")
	long seed;

	@Option(name = "--out", metaVar = "DIR", usage = "directory of the results")
	String out = "target/experiments";

}
