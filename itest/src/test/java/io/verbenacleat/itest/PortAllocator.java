package io.verbenacleat.itest;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free ports on the loopback address. They lie below the range from which the
 * system takes ports for outgoing connections, so that a port stays free until its
 * process binds it, and all have five digits. Safe for use by several threads.
 */
final class PortAllocator {

	private static final int MIN_PORT = 12_000;

	private static final int MAX_PORT = 32_000;

	private static final Set<Integer> ALLOCATED = ConcurrentHashMap.newKeySet();

	/**
	 * Returns a free port that was not returned before.
	 * @return the port
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
