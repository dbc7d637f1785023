package io.verbenacleat.entry.budget;

import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.ShrinkingMode;

/**
 * Guards against overspending, wrong account rows, and missing or duplicate bills under
 * random outages, lost answers, pauses and closed holders.
 */
class BudgetPropertyTests {

	@Property(seed = "20261204", tries = 300, shrinking = ShrinkingMode.BOUNDED)
	void spendStaysWithinBudgetAndEachRequestIsBilledOnce(@ForAll("steps") List<Integer> steps) {
		BudgetSimulation simulation = new BudgetSimulation((key) -> false);
		steps.forEach(simulation::step);
		simulation.finish();
	}

	@Provide
	Arbitrary<List<Integer>> steps() {
		return Arbitraries.integers()
			.between(0, 999_999)
			.withDistribution(RandomDistribution.uniform())
			.list()
			.withSizeDistribution(RandomDistribution.uniform())
			.ofMinSize(100)
			.ofMaxSize(400);
	}

}
