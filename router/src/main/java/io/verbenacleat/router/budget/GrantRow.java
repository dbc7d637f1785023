package io.verbenacleat.router.budget;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The shared row of one workspace: the tokens of its allowance that are granted to
 * routers. Immutable.
 *
 * @param givenTokens the tokens granted to routers, less those returned; tokens that a
 * lost router may have spent stay included
 * @param allowanceTokens the allowance in the newest configuration known to a writer of
 * the row
 * @param configVersion the version of that configuration, -1 in an empty row
 * @param routers the holdings of routers by their address for callers
 */
record GrantRow(long givenTokens, long allowanceTokens, long configVersion, Map<String, Holding> routers) {

	GrantRow {
		routers = Map.copyOf(routers);
	}

	/**
	 * Returns the row of a workspace for which none is stored.
	 * @return a row without grants
	 */
	static GrantRow empty() {
		return new GrantRow(0, 0, -1, Map.of());
	}

	/**
	 * Returns the unspent tokens of all other routers, as of their last writes.
	 * @param address the address of this router
	 * @return the tokens
	 */
	long heldByOthersTokens(String address) {
		long sum = 0;
		for (Map.Entry<String, Holding> entry : this.routers.entrySet()) {
			if (!entry.getKey().equals(address)) {
				sum += entry.getValue().unspentTokens();
			}
		}
		return sum;
	}

	/**
	 * Returns the other routers that hold enough unspent tokens.
	 * @param address the address of this router
	 * @param minTokens the minimum of unspent tokens
	 * @return the addresses, largest holders first
	 */
	List<String> holders(String address, long minTokens) {
		return this.routers.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(address) && entry.getValue().unspentTokens() >= minTokens)
			.sorted(Comparator.comparingLong((Map.Entry<String, Holding> entry) -> -entry.getValue().unspentTokens()))
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Returns the demand of all other routers, as of their last writes.
	 * @param address the address of this router
	 * @return the tokens per second
	 */
	double demandOfOthersPerS(String address) {
		double sum = 0;
		for (Map.Entry<String, Holding> entry : this.routers.entrySet()) {
			if (!entry.getKey().equals(address)) {
				sum += entry.getValue().demandPerS();
			}
		}
		return sum;
	}

	/**
	 * Returns the row after a change by one router.
	 * @param address the address of the router
	 * @param holding its new holding
	 * @param givenDelta the tokens that it takes, negative if it returns tokens
	 * @param allowance the allowance in tokens
	 * @param version the version of the configuration with that allowance
	 * @return the changed row
	 */
	GrantRow withHolding(String address, Holding holding, long givenDelta, long allowance, long version) {
		Map<String, Holding> changed = new TreeMap<>(this.routers);
		changed.put(address, holding);
		return new GrantRow(this.givenTokens + givenDelta, allowance, version, changed);
	}

	/**
	 * Returns the row without the holding of a router.
	 * @param address the address of the router
	 * @param returnedTokens the tokens that are released to the pool
	 * @return the changed row
	 */
	GrantRow withoutRouter(String address, long returnedTokens) {
		Map<String, Holding> changed = new TreeMap<>(this.routers);
		changed.remove(address);
		return new GrantRow(this.givenTokens - returnedTokens, this.allowanceTokens, this.configVersion, changed);
	}

	/**
	 * The unspent tokens and the demand of one router at its last write of the row; used
	 * only to size grants and to find lenders.
	 *
	 * @param unspentTokens the unspent tokens
	 * @param demandPerS the demand in tokens per second
	 */
	record Holding(long unspentTokens, long demandPerS) {
	}

}
