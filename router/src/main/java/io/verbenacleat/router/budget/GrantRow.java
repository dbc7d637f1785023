package io.verbenacleat.router.budget;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The shared row of one workspace: how many tokens of its allowance were given out.
 * Immutable.
 *
 * @param givenTokens the tokens that routers took, less those that they gave back; those
 * that a lost router may have spent stay counted
 * @param allowanceTokens the allowance in the newest configuration that a writer knew
 * @param configVersion the version of that configuration
 * @param routers what routers hold, by their address
 */
record GrantRow(long givenTokens, long allowanceTokens, long configVersion, Map<String, Holding> routers) {

	GrantRow {
		routers = Map.copyOf(routers);
	}

	static GrantRow empty() {
		return new GrantRow(0, 0, -1, Map.of());
	}

	// The tokens that other routers hold and had not spent when they wrote last.
	long heldByOthersTokens(String address) {
		long sum = 0;
		for (Map.Entry<String, Holding> entry : this.routers.entrySet()) {
			if (!entry.getKey().equals(address)) {
				sum += entry.getValue().unspentTokens();
			}
		}
		return sum;
	}

	// The addresses of other routers that hold that many unspent tokens, largest holders
	// first.
	List<String> holders(String address, long minTokens) {
		return this.routers.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(address) && entry.getValue().unspentTokens() >= minTokens)
			.sorted(Comparator.comparingLong((Map.Entry<String, Holding> entry) -> -entry.getValue().unspentTokens()))
			.map(Map.Entry::getKey)
			.toList();
	}

	// The tokens that the requests at other routers ask for in a second.
	double demandOfOthersPerS(String address) {
		double sum = 0;
		for (Map.Entry<String, Holding> entry : this.routers.entrySet()) {
			if (!entry.getKey().equals(address)) {
				sum += entry.getValue().demandPerS();
			}
		}
		return sum;
	}

	GrantRow withHolding(String address, Holding holding, long givenDelta, long allowance, long version) {
		Map<String, Holding> changed = new TreeMap<>(this.routers);
		changed.put(address, holding);
		return new GrantRow(this.givenTokens + givenDelta, allowance, version, changed);
	}

	GrantRow withoutRouter(String address, long returnedTokens) {
		Map<String, Holding> changed = new TreeMap<>(this.routers);
		changed.remove(address);
		return new GrantRow(this.givenTokens - returnedTokens, this.allowanceTokens, this.configVersion, changed);
	}

	/**
	 * What one router held and asked for when it wrote the row last; used for the sizes
	 * of grants only.
	 *
	 * @param unspentTokens the tokens that it held unspent
	 * @param demandPerS the tokens that its requests asked for in a second
	 */
	record Holding(long unspentTokens, long demandPerS) {
	}

}
