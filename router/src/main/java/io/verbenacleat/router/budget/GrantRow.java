package io.verbenacleat.router.budget;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

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
 * @param era the era of the store in which the row was written
 * @param number the number of changes of the row, those that the store has lost included
 * @param basis the row of an earlier era from which this era started, {@code null} in an
 * empty row
 * @param doubtTokens the granted tokens of which nobody knows whether routers took them,
 * 0 or more
 */
public record GrantRow(long givenTokens, long allowanceTokens, long configVersion, Map<String, Holding> routers,
		long era, long number, @Nullable Basis basis, long doubtTokens) {

	/**
	 * Maximum number of holdings. Those of routers whose addresses are not used again
	 * would let the row grow over the limit of the store.
	 */
	static final int MAX_HOLDINGS = 500;

	/** All fields but the holdings, with the largest figures. */
	private static final int MAX_FIXED_BYTES = 512;

	/** One holding with the largest figures, without its address. */
	private static final int MAX_HOLDING_BYTES = 80;

	/** An IPv6 address with a port. */
	private static final int MAX_ADDRESS_BYTES = 48;

	/**
	 * Creates a row with a copy of the holdings.
	 */
	public GrantRow {
		routers = (routers != null) ? Map.copyOf(routers) : Map.of();
	}

	/**
	 * Returns the row of a workspace for which none is stored.
	 * @return a row without grants
	 */
	static GrantRow empty() {
		return new GrantRow(0, 0, -1, Map.of(), StoreEra.UNKNOWN, 0, null, 0);
	}

	/**
	 * Returns the size of the row after a change by one router.
	 * @return an upper bound of the JSON text in bytes, if addresses are ASCII text
	 */
	int maxBytes() {
		int addressBytes = this.routers.keySet().stream().mapToInt(String::length).sum() + MAX_ADDRESS_BYTES;
		return MAX_FIXED_BYTES + addressBytes + (this.routers.size() + 1) * MAX_HOLDING_BYTES;
	}

	/**
	 * Returns the row for routers that only count what was granted.
	 * @return the row without holdings
	 */
	GrantRow withoutHoldings() {
		return new GrantRow(this.givenTokens, this.allowanceTokens, this.configVersion, Map.of(), this.era, this.number,
				this.basis, this.doubtTokens);
	}

	/**
	 * Returns whether this row contains changes that another version of it lacks.
	 * @param other the other version
	 * @return {@code true} if this row is of a later era, or of the same one with more
	 * changes
	 */
	boolean isNewerThan(GrantRow other) {
		return this.era > other.era || (this.era == other.era && this.number > other.number);
	}

	/**
	 * Returns the row with the changes of an earlier era that were not known when this
	 * era started.
	 * @param lost the newest row of the earlier era
	 * @param clearsDoubt whether {@code lost} is known by a router that remembers all of
	 * that era
	 * @return the row that counts them, this row if it does so already
	 */
	GrantRow withLostChanges(GrantRow lost, boolean clearsDoubt) {
		Basis start = this.basis;
		if (start == null || lost.era >= this.era) {
			return this;
		}
		boolean known = lost.era < start.era || (lost.era == start.era && lost.number <= start.number);
		boolean unchanged = (this.doubtTokens > 0) ? !clearsDoubt : known;
		if (unchanged) {
			return this;
		}
		// Another lost era may have started from an older row than this one.
		long earliestGiven = start.givenTokens;
		if (lost.basis != null && lost.era > start.era) {
			earliestGiven = Math.min(earliestGiven, lost.basis.givenTokens);
		}
		long uncounted = known ? 0 : lost.givenTokens - earliestGiven;
		return new GrantRow(this.givenTokens - this.doubtTokens + uncounted, this.allowanceTokens, this.configVersion,
				this.routers, this.era, this.number + 1, known ? start : Basis.of(lost), 0);
	}

	/**
	 * Returns the row for a new era of which nobody knows the lost changes: the whole
	 * allowance counts as granted.
	 * @param newEra the new era
	 * @param allowance the allowance in tokens
	 * @param version the version of the configuration with that allowance
	 * @return the row
	 */
	GrantRow withLostMemory(long newEra, long allowance, long version) {
		long doubt = Math.max(0, allowance - this.givenTokens);
		return new GrantRow(this.givenTokens + doubt, allowance, version, this.routers, newEra, this.number + 1,
				Basis.of(this), doubt);
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
	 * Returns the row after a loan to another router. The granted tokens stay the same.
	 * @param address the address of the borrower
	 * @param holding its holding after the loan
	 * @return the changed row, to be written with the next change
	 */
	GrantRow withLoan(String address, Holding holding) {
		Map<String, Holding> changed = withHolding(address, holding);
		return new GrantRow(this.givenTokens, this.allowanceTokens, this.configVersion, changed, this.era, this.number,
				this.basis, this.doubtTokens);
	}

	/**
	 * Returns the row after a change by one router.
	 * @param address the address of the router
	 * @param holding its new holding
	 * @param givenDelta the tokens that it takes, negative if it returns tokens
	 * @param allowance the allowance in tokens
	 * @param version the version of the configuration with that allowance
	 * @param newEra the era of the store
	 * @return the changed row
	 */
	GrantRow withHolding(String address, Holding holding, long givenDelta, long allowance, long version, long newEra) {
		return changed(givenDelta, allowance, version, withHolding(address, holding), newEra);
	}

	// Holdings only help to size grants and to find lenders, so that the smallest one of
	// another router can be left out.
	private Map<String, Holding> withHolding(String address, Holding holding) {
		Map<String, Holding> changed = new TreeMap<>(this.routers);
		changed.put(address, holding);
		while (changed.size() > MAX_HOLDINGS) {
			changed.entrySet()
				.stream()
				.filter((entry) -> !entry.getKey().equals(address))
				.min(Comparator.comparingLong((Map.Entry<String, Holding> entry) -> entry.getValue().unspentTokens()))
				.ifPresent((entry) -> changed.remove(entry.getKey()));
		}
		return changed;
	}

	/**
	 * Returns the row without the holding of a router.
	 * @param address the address of the router
	 * @param returnedTokens the tokens that are released to the pool
	 * @param newEra the era of the store
	 * @return the changed row
	 */
	GrantRow withoutRouter(String address, long returnedTokens, long newEra) {
		Map<String, Holding> changed = new TreeMap<>(this.routers);
		changed.remove(address);
		return changed(-returnedTokens, this.allowanceTokens, this.configVersion, changed, newEra);
	}

	private GrantRow changed(long givenDelta, long allowance, long version, Map<String, Holding> holdings,
			long newEra) {
		boolean first = this.era < newEra;
		// Only doubt on the era before the present one can be cleared.
		return new GrantRow(this.givenTokens + givenDelta, allowance, version, holdings, newEra, this.number + 1,
				first ? Basis.of(this) : this.basis, first ? 0 : this.doubtTokens);
	}

	/**
	 * The last known row of an earlier era.
	 *
	 * @param era its era
	 * @param number its number of changes
	 * @param givenTokens the tokens that were granted by it
	 */
	public record Basis(long era, long number, long givenTokens) {

		private static Basis of(GrantRow row) {
			return new Basis(row.era, row.number, row.givenTokens);
		}

	}

	/**
	 * The unspent tokens and the demand of one router at its last write of the row; used
	 * only to size grants and to find lenders.
	 *
	 * @param unspentTokens the unspent tokens
	 * @param demandPerS the demand in tokens per second
	 */
	public record Holding(long unspentTokens, long demandPerS) {
	}

}
