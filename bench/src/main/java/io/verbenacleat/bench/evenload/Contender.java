package io.verbenacleat.bench.evenload;

import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

import io.verbenacleat.router.balance.ExpectedTimeSelection;
import io.verbenacleat.router.balance.ExpectedTimeSelection.Weights;
import io.verbenacleat.router.balance.LeastLoadedSelection;
import io.verbenacleat.router.balance.PermitSchedule;
import io.verbenacleat.router.balance.PrefixAffinitySelection;
import io.verbenacleat.router.balance.SelectionPolicy;
import io.verbenacleat.router.balance.ServerStates;

/**
 * A way to select servers that the experiment compares. Immutable.
 *
 * @param name the name in the results
 * @param policy creates the policy of one router
 * @param tellsReports whether the routers tell each other their reports
 */
record Contender(String name, PolicyFactory policy, boolean tellsReports) {

	static Contender present() {
		return new Contender("least-loaded",
				(random, clock) -> new PrefixAffinitySelection(new LeastLoadedSelection(random)), false);
	}

	static Contender simple(String name, SimpleSelection.Rule rule) {
		return new Contender(name, (random, clock) -> new SimpleSelection(rule, random, clock), false);
	}

	static Contender expected(String name, Weights weights, boolean tells) {
		return new Contender(name, (random, clock) -> new ExpectedTimeSelection(random, clock, weights), tells);
	}

	ServerStates newStates(String zone, DoubleSupplier random, LongSupplier clock, PermitSchedule schedule) {
		SelectionPolicy created = this.policy.create(random, clock);
		return new ServerStates(zone, created, created, schedule);
	}

	/**
	 * Creates the policy of one router.
	 */
	@FunctionalInterface
	interface PolicyFactory {

		SelectionPolicy create(DoubleSupplier random, LongSupplier clock);

	}

}
