package io.verbenacleat.bench.hotkeys;

import com.google.common.hash.Hashing;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A stream of keys that arrive at a constant rate and whose popularity follows a Zipf
 * distribution. The popularity shifts at fixed intervals: the most popular keys become
 * the least popular ones. Immutable; the array must not be modified.
 *
 * @param name the name in the results
 * @param keys the keys in order of arrival
 * @param perSecond the number of arrivals per second
 * @param decay the decay of the counts
 */
record KeyStream(String name, long[] keys, double perSecond, Decay decay) {

	private static final double EXPONENT = 1.0;

	private static final int SHIFTS = 16;

	/** The number of keys that lose their popularity at each shift. */
	private static final int SHIFTED_KEYS = 20;

	/**
	 * Generates a stream.
	 * @param name the name in the results
	 * @param seed the seed of all random choices
	 * @param distinct the number of distinct keys
	 * @param arrivals the number of arrivals
	 * @param perSecond the number of arrivals per second
	 * @param decay the decay of the counts
	 * @return the stream
	 */
	static KeyStream generate(String name, long seed, int distinct, int arrivals, double perSecond, Decay decay) {
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		SharedStateDiscreteSampler ranks = RejectionInversionZipfSampler.of(random, distinct, EXPONENT);
		long[] keys = new long[arrivals];
		for (int i = 0; i < arrivals; i++) {
			long shift = (long) i * SHIFTS / arrivals * SHIFTED_KEYS;
			long key = (ranks.sample() - 1 + shift) % distinct;
			// Consecutive numbers would give hash maps better locality than real keys.
			keys[i] = Hashing.murmur3_128().hashLong(key).asLong();
		}
		return new KeyStream(name, keys, perSecond, decay);
	}

	/**
	 * Returns the time of an arrival.
	 * @param arrival the index of the arrival
	 * @return the time, in milliseconds since the start of the stream
	 */
	long timeMs(int arrival) {
		return (long) (arrival * 1_000L / this.perSecond);
	}

	/**
	 * Adds a range of the arrivals to a structure.
	 * @param target the structure
	 * @param from the index of the first arrival
	 * @param to the index after the last arrival
	 */
	void addTo(FrequentKeys target, int from, int to) {
		for (int i = from; i < to; i++) {
			target.add(this.keys[i], timeMs(i));
		}
	}

}
