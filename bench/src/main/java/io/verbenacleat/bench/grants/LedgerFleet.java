package io.verbenacleat.bench.grants;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import com.google.common.hash.Hashing;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.core.platform.TransactionLimits;
import io.verbenacleat.entry.budget.GrantPolicy;
import org.jspecify.annotations.Nullable;

/**
 * Simulates the holders of all sites: their rendezvous order, their crashes, the closing
 * of crashed holders by others of the same site, and their replacement. Not safe for use
 * by several threads.
 */
final class LedgerFleet {

	/** The time after which another process suspects one that no longer responds. */
	private static final Duration SUSPECT_TIMEOUT = Duration.ofSeconds(10);

	private static final Duration RESTART_DELAY = Duration.ofMinutes(1);

	private static final Duration RETRY_DELAY = Duration.ofSeconds(5);

	final InMemoryTableStore store = new InMemoryTableStore(TransactionLimits.NONE);

	final TableRows rows = new TableRows(this.store);

	final SimulatedAgents agents = new SimulatedAgents();

	final PartitionedTableStore.CallCounts counts = new PartitionedTableStore.CallCounts();

	private final Workload workload;

	private final ManualControlThread control;

	private final GrantPolicy policy;

	private final long startMs;

	private final Map<String, LedgerHolder> holders = new HashMap<>();

	private final List<List<LedgerHolder>> members = new ArrayList<>();

	private final LedgerHolder[][] slots;

	LedgerFleet(Workload workload, ManualControlThread control, GrantPolicy policy) {
		this.workload = workload;
		this.control = control;
		this.policy = policy;
		this.startMs = control.clock().millis();
		this.slots = new LedgerHolder[workload.sites()][workload.holdersPerSite()];
		this.rows.register("agents", Member.Role.AGENT, "site-0");
		for (int site = 0; site < workload.sites(); site++) {
			this.members.add(new ArrayList<>());
			for (int slot = 0; slot < workload.holdersPerSite(); slot++) {
				start(site, slot);
			}
		}
	}

	private void start(int site, int slot) {
		if (!tableReachable(site)) {
			this.control.schedule(RETRY_DELAY, () -> start(site, slot));
			return;
		}
		Member member = this.rows.register("entry-" + site + "-" + slot + "-" + this.holders.size(), Member.Role.ENTRY,
				"site-" + site);
		PartitionedTableStore table = new PartitionedTableStore(this.store, this.control, () -> tableReachable(site),
				this.counts);
		LedgerHolder holder = new LedgerHolder(member, site, table, this.control, this.policy, this.agents);
		this.holders.put(member.incarnation(), holder);
		this.members.get(site).add(holder);
		this.slots[site][slot] = holder;
	}

	void crashHolder(HolderCrash crash) {
		LedgerHolder holder = this.slots[crash.site()][crash.slot()];
		if (holder.crashed()) {
			return;
		}
		holder.crash();
		this.control.schedule(SUSPECT_TIMEOUT, () -> closeCrashed(holder));
		this.control.schedule(RESTART_DELAY, () -> start(crash.site(), crash.slot()));
	}

	private void closeCrashed(LedgerHolder crashed) {
		this.members.get(crashed.site)
			.stream()
			.filter((member) -> !member.crashed())
			.findFirst()
			.ifPresent((member) -> member.closer.closeProcess(crashed.member.incarnation())
				.thenRun(() -> this.members.get(crashed.site).remove(crashed)));
	}

	/**
	 * Returns the holders of a site in the rendezvous order of an account.
	 * @param site the site
	 * @param account the account
	 * @return the holders, the home holder first, including crashed ones that are not
	 * closed yet
	 */
	List<LedgerHolder> rankedHolders(int site, String account) {
		return this.members.get(site)
			.stream()
			.sorted(Comparator.comparingLong((holder) -> weight(account, holder.member.incarnation())))
			.toList();
	}

	/**
	 * Returns the home holders of an account at all other sites.
	 * @param site the site to leave out
	 * @param account the account
	 * @return one holder of each other site that has any
	 */
	List<LedgerHolder> homeHoldersAtOtherSites(int site, String account) {
		return IntStream.range(0, this.workload.sites())
			.filter((other) -> other != site)
			.mapToObj((other) -> rankedHolders(other, account).stream().findFirst())
			.flatMap(Optional::stream)
			.toList();
	}

	@Nullable
	LedgerHolder findHolder(String incarnation) {
		return this.holders.get(incarnation);
	}

	/**
	 * Returns whether an entry at a site can reach a holder.
	 * @param site the site of the entry
	 * @param holder the holder
	 * @return {@code true} if it has not crashed and no partition separates the two sites
	 */
	boolean reachable(int site, LedgerHolder holder) {
		return !holder.crashed() && (site == holder.site || this.workload.connected(site, holder.site, nowMs()));
	}

	boolean tableReachable(int site) {
		return this.workload.tableReachable(site, nowMs());
	}

	private long nowMs() {
		return this.control.clock().millis() - this.startMs;
	}

	private static long weight(String account, String incarnation) {
		return Hashing.murmur3_128()
			.newHasher()
			.putString(account, StandardCharsets.UTF_8)
			.putChar('/')
			.putString(incarnation, StandardCharsets.UTF_8)
			.hash()
			.asLong();
	}

}
