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
 * The addresses of the other routers. One that did not answer is left out for some time.
 * Not safe for use by several threads.
 */
final class PeerDirectory {

	/** The first call after a restart fails on the connection that was kept. */
	static final Duration FIRST_SUSPENSION = Duration.ofMillis(125);

	/** A process that was killed or stopped is back within two to three seconds. */
	static final Duration MAX_SUSPENSION = Duration.ofSeconds(2);

	/** Bounds the memory; the design size is 370 hosts. */
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
	 * Adds addresses; those that are known stay as they are.
	 * @param addresses the addresses, empty ones are left out
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
	 * @param maxCount the most addresses
	 * @param nowNanos the steady time
	 * @return the addresses, without those that did not answer lately
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
	 * Selects routers by their hosts.
	 * @param addresses addresses with any port, preferred ones first
	 * @param nowNanos the steady time
	 * @return the peer addresses, without those that did not answer lately
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
	 * Leaves a router out, longer with each failure in a row.
	 * @param address its address
	 * @param nowNanos the steady time
	 */
	void onFailure(String address, long nowNanos) {
		int failures = Math.min(this.consecutiveFailures.merge(address, 1, Integer::sum), MAX_DOUBLINGS);
		long nanos = Math.min(MAX_SUSPENSION.toNanos(), FIRST_SUSPENSION.toNanos() << (failures - 1));
		this.suspendedUntilNanos.computeIfPresent(address, (any, until) -> nowNanos + nanos);
	}

	/**
	 * Notes that a router has answered.
	 * @param address its address
	 */
	void onSuccess(String address) {
		this.consecutiveFailures.remove(address);
	}

	/**
	 * Returns all known addresses.
	 * @return the addresses
	 */
	List<String> addresses() {
		return List.copyOf(this.suspendedUntilNanos.keySet());
	}

}
