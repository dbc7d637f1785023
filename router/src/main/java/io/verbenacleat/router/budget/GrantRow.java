package io.verbenacleat.router.budget;

import java.util.Map;
import java.util.TreeMap;

/**
 * The shared row of one workspace: how many tokens of its allowance were given out.
 * Immutable.
 *
 * @param givenTokens the tokens that routers took, less those that they gave back; those
 * of lost routers stay counted
 * @param allowanceTokens the allowance in the newest configuration that a writer knew
 * @param configVersion the version of that configuration
 * @param routers what the living routers hold, by incarnation
 */
record GrantRow(long givenTokens, long allowanceTokens, long configVersion, Map<String, Holding> routers) {

	GrantRow {
		routers = Map.copyOf(routers);
	}

	static GrantRow empty() {
		return new GrantRow(0, 0, -1, Map.of());
	}

	// The tokens that other routers hold and had not spent when they wrote last.
	long heldByOthers(String incarnation) {
		long sum = 0;
		for (Map.Entry<String, Holding> entry : this.routers.entrySet()) {
			if (!entry.getKey().equals(incarnation)) {
				sum += entry.getValue().givenTokens() - entry.getValue().spentTokens();
			}
		}
		return sum;
	}

	// The tokens that the requests at other routers ask for in a second.
	double demandOfOthers(String incarnation) {
		double sum = 0;
		for (Map.Entry<String, Holding> entry : this.routers.entrySet()) {
			if (!entry.getKey().equals(incarnation)) {
				sum += entry.getValue().demandPerS();
			}
		}
		return sum;
	}

	GrantRow with(String incarnation, Holding holding, long givenDelta, long allowance, long version) {
		Map<String, Holding> changed = new TreeMap<>(this.routers);
		changed.put(incarnation, holding);
		return new GrantRow(this.givenTokens + givenDelta, allowance, version, changed);
	}

	GrantRow without(String incarnation, long returnedTokens) {
		Map<String, Holding> changed = new TreeMap<>(this.routers);
		changed.remove(incarnation);
		return new GrantRow(this.givenTokens - returnedTokens, this.allowanceTokens, this.configVersion, changed);
	}

	/**
	 * What one router took.
	 *
	 * @param givenTokens the tokens that it took, less those that it gave back
	 * @param spentTokens the tokens that it had spent when it wrote last
	 * @param demandPerS the tokens that its requests asked for in a second
	 * @param write the number of its last write, which tells whether a write without an
	 * answer took effect
	 */
	record Holding(long givenTokens, long spentTokens, long demandPerS, long write) {
	}

}
