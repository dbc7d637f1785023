package io.verbenacleat.core.id;

import java.time.Clock;
import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * Creates identifiers of incarnations, that is of single runs of a process. Safe for use
 * by several threads.
 */
public final class Incarnations {

	private static final int RADIX = 36;

	private static final long RANDOM_BOUND = 1L << 40;

	private Incarnations() {
	}

	/**
	 * Creates a unique identifier for a run of a process.
	 * @param name the name of the process
	 * @param clock the clock to read the start time from
	 * @param random the source of the random part
	 * @return the identifier {@code <name>-<start time>-<random>}, start time in
	 * milliseconds and random part both in base 36
	 */
	public static String create(String name, Clock clock, RandomGenerator random) {
		String start = Long.toString(clock.millis(), RADIX);
		String suffix = Long.toString(random.nextLong(RANDOM_BOUND), RADIX);
		return (name + "-" + start + "-" + suffix).toLowerCase(Locale.ROOT);
	}

}
