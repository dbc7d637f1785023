package io.verbenacleat.core.id;

import java.time.Clock;
import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * Makes the identities of process runs. Safe for use by several threads.
 */
public final class Incarnations {

	private static final int RADIX = 36;

	private static final long RANDOM_BOUND = 1L << 40;

	private Incarnations() {
	}

	/**
	 * Makes an identity that no other run has.
	 * @param name the name of the process
	 * @param clock the clock for the start time
	 * @param random the source of the random part
	 * @return the identity, {@code <name>-<start time>-<random>}
	 */
	public static String create(String name, Clock clock, RandomGenerator random) {
		String start = Long.toString(clock.millis(), RADIX);
		String suffix = Long.toString(random.nextLong(RANDOM_BOUND), RADIX);
		return (name + "-" + start + "-" + suffix).toLowerCase(Locale.ROOT);
	}

}
