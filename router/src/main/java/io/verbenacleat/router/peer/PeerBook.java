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
final class PeerBook {

	/** A process that was killed or stopped is back within two to three seconds. */
	static final Duration SUSPENSION = Duration.ofSeconds(2);

	/** Bounds the memory; the design size is 370 hosts. */
	private static final int MAX_PEERS = 1_000;

	private final String ownAddress;

	private final Random random;

	private final Map<String, Long> usableFromNanos = new HashMap<>();

	PeerBook(String ownAddress, Collection<String> seeds, Random random) {
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
			if (!address.isEmpty() && !address.equals(this.ownAddress) && this.usableFromNanos.size() < MAX_PEERS) {
				this.usableFromNanos.putIfAbsent(address, Long.MIN_VALUE);
			}
		}
	}

	/**
	 * Selects routers at random.
	 * @param most the most addresses
	 * @param nowNanos the steady time
	 * @return the addresses, without those that did not answer lately
	 */
	List<String> select(int most, long nowNanos) {
		List<String> usable = new ArrayList<>();
		this.usableFromNanos.forEach((address, fromNanos) -> {
			if (nowNanos >= fromNanos) {
				usable.add(address);
			}
		});
		Collections.sort(usable);
		Collections.shuffle(usable, this.random);
		return usable.subList(0, Math.min(most, usable.size()));
	}

	/**
	 * Leaves a router out for some time.
	 * @param address its address
	 * @param nowNanos the steady time
	 */
	void suspend(String address, long nowNanos) {
		this.usableFromNanos.computeIfPresent(address, (any, from) -> nowNanos + SUSPENSION.toNanos());
	}

	/**
	 * Returns all known addresses.
	 * @return the addresses
	 */
	List<String> all() {
		return List.copyOf(this.usableFromNanos.keySet());
	}

}
