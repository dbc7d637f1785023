package io.verbenacleat.entry.holder;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.verbenacleat.core.config.BudgetConfig;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.Membership;
import io.verbenacleat.core.rpc.Channels;
import io.verbenacleat.entry.EntryStateKeys;
import io.verbenacleat.entry.budget.BudgetHolder;

/**
 * Locates the holders of an account. Entries are ranked for each account, and the first
 * ones of a site, as many as configured, are the home holders of the account at that
 * site. Safe for use by several threads.
 */
final class HolderDirectory {

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

	private final Member self;

	private final BudgetHolder local;

	private final Channels channels;

	private final Blackboard blackboard;

	HolderDirectory(Member self, BudgetHolder local, Channels channels, Blackboard blackboard) {
		this.self = self;
		this.local = local;
		this.channels = channels;
		this.blackboard = blackboard;
	}

	/**
	 * Returns the entries of this site in the order in which a request should try them.
	 * The requests of an account with several home holders are distributed over these.
	 * @param accountId the account
	 * @param requestId the request id
	 * @return the entries, starting with a home holder; never empty
	 */
	List<HolderAddress> candidates(String accountId, String requestId) {
		Membership members = this.blackboard.read(EntryStateKeys.MEMBERS);
		List<Member> entries = (members != null) ? members.entries(this.self.site()) : List.of();
		if (entries.isEmpty()) {
			return List.of(HolderAddress.of(this.self));
		}
		List<Member> ranked = HolderRanking.rank(accountId, entries);
		int homeHolders = Math.min(homeHolderCount(accountId), ranked.size());
		int first = Math.floorMod(requestId.hashCode(), homeHolders);
		List<Member> ordered = new ArrayList<>(ranked);
		ordered.add(0, ordered.remove(first));
		return ordered.stream().map(HolderAddress::of).toList();
	}

	/**
	 * Returns the first home holder of an account at each of the other sites, which may
	 * reach the table store when this site cannot.
	 * @param accountId the account
	 * @return one entry of each other site, sorted by site
	 */
	List<HolderAddress> homeHoldersAtOtherSites(String accountId) {
		Membership members = this.blackboard.read(EntryStateKeys.MEMBERS);
		if (members == null) {
			return List.of();
		}
		return members.members()
			.stream()
			.filter((member) -> member.role() == Member.Role.ENTRY)
			.map(Member::site)
			.filter((site) -> !site.equals(this.self.site()))
			.distinct()
			.sorted()
			.map((site) -> HolderAddress.of(HolderRanking.rank(accountId, members.entries(site)).get(0)))
			.toList();
	}

	/**
	 * Returns the holder at an address.
	 * @param address the gRPC address
	 * @return the holder; the local one for the address of this process
	 */
	BudgetHolder holder(String address) {
		return (address.equals(this.self.address())) ? this.local
				: new RemoteHolder(address, this.channels, CALL_TIMEOUT);
	}

	/**
	 * Returns whether an incarnation is listed as a member of the fleet.
	 * @param incarnation the incarnation of the process
	 * @return {@code true} if it is listed, or if no member list is available yet
	 */
	boolean isMember(String incarnation) {
		Membership members = this.blackboard.read(EntryStateKeys.MEMBERS);
		return members == null || members.find(incarnation).isPresent();
	}

	private int homeHolderCount(String accountId) {
		OfficeConfig config = this.blackboard.read(EntryStateKeys.CONFIG);
		BudgetConfig budget = (config != null) ? config.budget() : BudgetConfig.DEFAULT;
		return Math.max(1, budget.holdersPerSite(accountId));
	}

}
