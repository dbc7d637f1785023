package io.verbenacleat.bench.hotkeys;

import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class HotKeysExperimentTests {

	// Guards against an accuracy measurement that reports errors for exact counts, or
	// that varies between runs.
	@Test
	public void exactCountsHaveNoErrorAndRunsAreReproducible() {
		KeyStream stream = KeyStream.generate("test", 5, 2_000, 20_000, 3_500, new Decay(2_000));
		for (CountingStructure structure : CountingStructure.all()) {
			Accuracy first = Accuracy.measure(stream, structure, List.of(100)).get(0);
			Accuracy second = Accuracy.measure(stream, structure, List.of(100)).get(0);
			assertEquals(first.recall(), second.recall());
			assertTrue(first.recall() > 0.5, structure.name());
			if (structure.name().equals("exact")) {
				assertEquals(first.precision(), 1.0);
				assertEquals(first.countError(), 0.0);
			}
		}
	}

}
