package io.verbenacleat.router.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * The peer addresses of the other routers. A router that fails to respond is suspended
 * for a time that doubles with each consecutive failure. Not safe for use by several
 * threads.
 */
final class PeerDirectory {

	/**
	 * Short, since the first call after a restart fails on the stale pooled connection.
	 */
	static final Duration FIRST_SUSPENSION = Duration.ofMillis(125);

	/** A process that was killed or stopped is back within two to three seconds. */
	static final Duration MAX_SUSPENSION = Duration.ofSeconds(2);

	/** Bounds the memory. The largest planned fleet has 370 hosts. */
	private static final int MAX_PEERS = 1_000;

	private static final int MAX_DOUBLINGS = 8;

	private final String ownAddress;

	private final Random random;

	private final Map<String, Long> suspendedUntilNanos = new HashMap<>();

	private final Map<String, Integer> consecutiveFailures = new HashMap<>();

	PeerDirectory(String ownAddress, Collection<String> seeds, Random random) {
		this.ownAddress = ownAddress;
		this.random = random;
		add(seeds);
	}

	/**
	 * Adds addresses; the state of known ones does not change.
	 * @param addresses the addresses; empty ones and the own one are ignored
	 */
	void add(Collection<String> addresses) {
		for (String address : addresses) {
			if (!address.isEmpty() && !address.equals(this.ownAddress) && this.suspendedUntilNanos.size() < MAX_PEERS) {
				this.suspendedUntilNanos.putIfAbsent(address, Long.MIN_VALUE);
			}
		}
	}

	/**
	 * Selects routers at random.
	 * @param maxCount the maximum number of addresses
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the addresses of routers that are not suspended
	 */
	List<String> select(int maxCount, long nowNanos) {
		List<String> usable = new ArrayList<>();
		this.suspendedUntilNanos.forEach((address, untilNanos) -> {
			if (nowNanos >= untilNanos) {
				usable.add(address);
			}
		});
		Collections.sort(usable);
		Collections.shuffle(usable, this.random);
		return usable.subList(0, Math.min(maxCount, usable.size()));
	}

	/**
	 * Selects the routers on given hosts.
	 * @param addresses addresses with any port, in order of preference
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the peer addresses of routers that are not suspended, in the same order
	 */
	List<String> selectByHost(List<String> addresses, long nowNanos) {
		Map<String, String> peerByHost = new HashMap<>();
		this.suspendedUntilNanos.forEach((address, untilNanos) -> {
			if (nowNanos >= untilNanos) {
				peerByHost.put(host(address), address);
			}
		});
		List<String> selected = new ArrayList<>();
		for (String address : addresses) {
			String peer = peerByHost.get(host(address));
			if (peer != null) {
				selected.add(peer);
			}
		}
		return selected;
	}

	private static String host(String address) {
		return address.substring(0, Math.max(0, address.lastIndexOf(':')));
	}

	/**
	 * Suspends a router after a failed call.
	 * @param address its address
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void onFailure(String address, long nowNanos) {
		int failures = Math.min(this.consecutiveFailures.merge(address, 1, Integer::sum), MAX_DOUBLINGS);
		long nanos = Math.min(MAX_SUSPENSION.toNanos(), FIRST_SUSPENSION.toNanos() << (failures - 1));
		this.suspendedUntilNanos.computeIfPresent(address, (any, until) -> nowNanos + nanos);
	}

	/**
	 * Resets the consecutive failures of a router after a response.
	 * @param address its address
	 */
	void onSuccess(String address) {
		this.consecutiveFailures.remove(address);
	}

	/**
	 * Returns all known addresses.
	 * @return the addresses, those of suspended routers included
	 */
	List<String> addresses() {
		return List.copyOf(this.suspendedUntilNanos.keySet());
	}

}
