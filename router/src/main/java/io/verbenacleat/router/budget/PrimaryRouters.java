package io.verbenacleat.router.budget;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.hash.Hashing;

/**
 * Determines the primary router of each workspace, which takes tokens from the shared row
 * and lends them to the other routers. Confined to the control thread.
 * <p>
 * Many routers that write the same row fail each other's transactions, and a router on a
 * small host hardly ever wins. All routers rank the same candidates by rendezvous
 * hashing, so they agree on the primary without messages. If they disagree for a while,
 * or the primary does not respond, the others take tokens themselves: only the number of
 * writes depends on the choice.
 */
final class PrimaryRouters {

	/** Smaller fleets write the rows themselves; their writes rarely conflict. */
	static final int MIN_ROUTERS = 8;

	/**
	 * Candidates have at least this fraction of the largest capacity, since a primary
	 * handles the loans of all other routers.
	 */
	private static final double MIN_CAPACITY_FRACTION = 0.5;

	/** Candidates of a workspace that are tried while others do not respond. */
	private static final int MAX_CANDIDATES = 2;

	private static final Duration FIRST_SUSPENSION = Duration.ofMillis(500);

	/** A process that was killed is back within about three seconds. */
	private static final Duration MAX_SUSPENSION = Duration.ofSeconds(4);

	private static final int MAX_DOUBLINGS = 3;

	private final String ownAddress;

	private List<FleetRouter> candidates = List.of();

	private Map<String, FleetRouter> routersByPeerAddress = Map.of();

	private final Map<String, List<FleetRouter>> rankings = new HashMap<>();

	private final Map<String, Long> suspendedUntilNanos = new HashMap<>();

	private final Map<String, Integer> consecutiveFailures = new HashMap<>();

	PrimaryRouters(String ownAddress) {
		this.ownAddress = ownAddress;
	}

	/**
	 * Replaces the known routers.
	 * @param routers the routers that have a row in the store, this one included
	 */
	void update(Collection<FleetRouter> routers) {
		Map<String, FleetRouter> reachable = new HashMap<>();
		for (FleetRouter router : routers) {
			if (!router.peerAddress().isEmpty()) {
				reachable.put(router.peerAddress(), router);
			}
		}
		this.routersByPeerAddress = reachable;
		double largest = reachable.values().stream().mapToDouble(FleetRouter::capacityCores).max().orElse(0);
		this.candidates = (reachable.size() < MIN_ROUTERS) ? List.of()
				: reachable.values()
					.stream()
					.filter((router) -> router.capacityCores() >= largest * MIN_CAPACITY_FRACTION)
					.toList();
		this.rankings.clear();
	}

	/**
	 * Returns whether this router is the first candidate of a workspace.
	 * @param workspace the name of the workspace
	 * @return {@code true} if it should hold tokens for the other routers
	 */
	boolean isPrimary(String workspace) {
		List<FleetRouter> ranking = ranking(workspace);
		return !ranking.isEmpty() && ranking.get(0).address().equals(this.ownAddress);
	}

	/**
	 * Returns the router from which this one borrows tokens of a workspace.
	 * @param workspace the name of the workspace
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the router; empty if this router takes tokens from the shared row itself
	 */
	Optional<FleetRouter> lender(String workspace, long nowNanos) {
		for (FleetRouter candidate : ranking(workspace)) {
			if (candidate.address().equals(this.ownAddress)) {
				return Optional.empty();
			}
			if (nowNanos >= this.suspendedUntilNanos.getOrDefault(candidate.address(), Long.MIN_VALUE)) {
				return Optional.of(candidate);
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the address for callers of a router.
	 * @param peerAddress its address for calls of other routers
	 * @return the address, empty if the router is unknown
	 */
	Optional<String> address(String peerAddress) {
		return Optional.ofNullable(this.routersByPeerAddress.get(peerAddress)).map(FleetRouter::address);
	}

	/**
	 * Suspends a router that did not respond.
	 * @param router the router
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void onFailure(FleetRouter router, long nowNanos) {
		int failures = Math.min(MAX_DOUBLINGS + 1, this.consecutiveFailures.merge(router.address(), 1, Integer::sum));
		long nanos = Math.min(MAX_SUSPENSION.toNanos(), FIRST_SUSPENSION.toNanos() << (failures - 1));
		this.suspendedUntilNanos.put(router.address(), nowNanos + nanos);
	}

	/**
	 * Records that a router has responded.
	 * @param router the router
	 */
	void onSuccess(FleetRouter router) {
		this.consecutiveFailures.remove(router.address());
		this.suspendedUntilNanos.remove(router.address());
	}

	private List<FleetRouter> ranking(String workspace) {
		return this.rankings.computeIfAbsent(workspace,
				(name) -> this.candidates.stream()
					.sorted(Comparator.comparingLong((FleetRouter router) -> weight(router, name))
						.thenComparing(FleetRouter::address))
					.limit(MAX_CANDIDATES)
					.toList());
	}

	private static long weight(FleetRouter router, String workspace) {
		return Hashing.murmur3_128()
			.newHasher()
			.putString(router.address(), StandardCharsets.UTF_8)
			.putString(workspace, StandardCharsets.UTF_8)
			.hash()
			.asLong();
	}

}
