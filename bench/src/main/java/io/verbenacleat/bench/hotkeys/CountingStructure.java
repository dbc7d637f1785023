package io.verbenacleat.bench.hotkeys;

import java.util.List;
import java.util.function.Function;

/**
 * A structure that the experiment compares. Immutable.
 *
 * @param name the name in the results
 * @param factory creates an empty structure
 */
record CountingStructure(String name, Function<Decay, FrequentKeys> factory) {

	/**
	 * Returns all structures: the exact map, and the others with several capacities.
	 * @return the structures in order of the results
	 */
	static List<CountingStructure> all() {
		return List.of(new CountingStructure("exact", ExactKeys::new), bounded("heap", 2_000, HeapKeys::new),
				bounded("quasi-heap", 2_000, QuasiHeapKeys::new), bounded("cache", 2_000, CachedKeys::new),
				bounded("heap", 16_000, HeapKeys::new), bounded("quasi-heap", 16_000, QuasiHeapKeys::new),
				bounded("cache", 16_000, CachedKeys::new));
	}

	private static CountingStructure bounded(String name, int capacity, BoundedFactory factory) {
		return new CountingStructure(name + "-" + capacity, (decay) -> factory.create(decay, capacity));
	}

	/**
	 * Creates a structure with a limited number of counters.
	 */
	@FunctionalInterface
	private interface BoundedFactory {

		FrequentKeys create(Decay decay, int capacity);

	}

}
