package io.verbenacleat.itest;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Allocates free ports on the loopback address. They are below the range of ephemeral
 * ports, so that no outgoing connection takes a port before its process binds it, and
 * have five digits, as {@link AddressRewriter} requires. Thread-safe.
 */
final class PortAllocator {

	private static final int MIN_PORT = 12_000;

	private static final int MAX_PORT = 32_000;

	private static final Set<Integer> ALLOCATED = ConcurrentHashMap.newKeySet();

	/**
	 * Returns a free port that no allocator of this JVM has returned before.
	 * @return the port, 12000 to 31999
	 */
	int allocate() {
		while (true) {
			int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
			if (ALLOCATED.add(port) && isFree(port)) {
				return port;
			}
		}
	}

	private static boolean isFree(int port) {
		try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
			return socket.isBound();
		}
		catch (IOException ex) {
			return false;
		}
	}

}
