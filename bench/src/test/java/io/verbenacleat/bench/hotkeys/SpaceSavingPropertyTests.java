package io.verbenacleat.bench.hotkeys;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a wrong heap order, by which a frequent key would be evicted, and
 * against counts that are off by more than their reported error.
 */
class SpaceSavingPropertyTests {

	private static final Decay DECAY = new Decay(300);

	private static final double TOLERANCE = 1e-9;

	private static final int[] GAPS_MS = { 0, 0, 1, 40, 400 };

	@Property(seed = "20261204", tries = 1_000, shrinking = ShrinkingMode.BOUNDED)
	void ordinaryHeapCountsStayWithinBounds(@ForAll @IntRange(min = 1, max = 12) int capacity,
			@ForAll @Size(max = 250) List<@IntRange(max = 9_999) Integer> steps) {
		check(HeapKeys::new, capacity, steps);
	}

	@Property(seed = "20261204", tries = 1_000, shrinking = ShrinkingMode.BOUNDED)
	void quasiHeapCountsStayWithinBounds(@ForAll @IntRange(min = 1, max = 12) int capacity,
			@ForAll @Size(max = 250) List<@IntRange(max = 9_999) Integer> steps) {
		check(QuasiHeapKeys::new, capacity, steps);
	}

	private static void check(BiFunction<Decay, Integer, SpaceSaving> factory, int capacity, List<Integer> steps) {
		SpaceSaving keys = factory.apply(DECAY, capacity);
		Map<Long, Counter> exact = new HashMap<>();
		long nowMs = 0;
		for (int step : steps) {
			long key = step % 24;
			nowMs += GAPS_MS[step / 24 % GAPS_MS.length];
			keys.add(key, nowMs);
			exact.computeIfAbsent(key, (absent) -> new Counter(absent, 0, 0, 0)).add(DECAY, nowMs);
			checkBounds(keys, capacity, exact, nowMs);
			// The minimum is checked only in some steps, because this sorts the delayed
			// counters
			// and the other steps are to run with delayed ones.
			if (step % 7 == 0) {
				assertEquals(keys.minimum(nowMs).count, lowest(keys, nowMs), TOLERANCE);
			}
		}
	}

	private static void checkBounds(SpaceSaving keys, int capacity, Map<Long, Counter> exact, long nowMs) {
		Map<Long, Counter> counters = new HashMap<>();
		keys.counters().forEach((counter) -> counters.put(counter.key, counter.copyAt(DECAY, nowMs)));
		assertEquals(counters.size(), Math.min(capacity, exact.size()));
		double lowest = (counters.size() < capacity) ? 0 : lowest(keys, nowMs);
		exact.forEach((key, counter) -> {
			double trueCount = counter.copyAt(DECAY, nowMs).count;
			Counter found = counters.get(key);
			if (found == null) {
				assertTrue(trueCount <= lowest + TOLERANCE, "key " + key + " is missing");
			}
			else {
				assertTrue(found.count - found.error <= trueCount + TOLERANCE, "key " + key + " is counted too high");
				assertTrue(found.count >= trueCount - TOLERANCE, "key " + key + " is counted too low");
			}
		});
	}

	private static double lowest(SpaceSaving keys, long nowMs) {
		return keys.counters()
			.stream()
			.mapToDouble((counter) -> counter.copyAt(DECAY, nowMs).count)
			.min()
			.orElseThrow();
	}

}
