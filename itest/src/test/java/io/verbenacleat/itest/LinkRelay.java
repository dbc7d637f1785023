package io.verbenacleat.itest;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;

/**
 * A TCP relay between two processes that simulates network partitions and latency, in
 * each direction separately. Bytes of a cut direction are buffered and delivered after it
 * is healed, as TCP retransmission does after a partition. Thread-safe.
 *
 * <pre>{@code
 * try (LinkRelay link = LinkRelay.start(targetPort)) {
 *     link.cut();
 *     link.heal();
 * }
 * }</pre>
 */
final class LinkRelay implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1024;

	/**
	 * Buffered bytes that may be the beginning of an address are sent when no further
	 * byte arrives within this time.
	 */
	private static final int FLUSH_TIMEOUT_MS = 20;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final Direction forward = new Direction();

	private final Direction backward = new Direction();

	private final ServerSocket server;

	private final int targetPort;

	private volatile Map<Integer, Integer> forwardPorts = Map.of();

	private volatile Map<Integer, Integer> backwardPorts = Map.of();

	private LinkRelay(int targetPort) throws IOException {
		this.targetPort = targetPort;
		this.server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
	}

	/**
	 * Starts a relay on a free loopback port.
	 * @param targetPort the port of the target on the loopback address
	 * @return the relay
	 * @throws IOException when no port can be bound
	 */
	static LinkRelay start(int targetPort) throws IOException {
		LinkRelay relay = new LinkRelay(targetPort);
		startThread(relay::accept, "relay-" + relay.port());
		return relay;
	}

	/**
	 * Returns the port on which the relay listens.
	 * @return the port
	 */
	int port() {
		return this.server.getLocalPort();
	}

	/**
	 * Sets the ports to replace in the bytes of later connections.
	 * @param forwardMap the replacement by original port, for bytes to the target
	 * @param backwardMap the replacement by original port, for bytes from the target
	 */
	void rewritePorts(Map<Integer, Integer> forwardMap, Map<Integer, Integer> backwardMap) {
		this.forwardPorts = Map.copyOf(forwardMap);
		this.backwardPorts = Map.copyOf(backwardMap);
	}

	/**
	 * Cuts both directions.
	 */
	void cut() {
		cutForward();
		cutBackward();
	}

	/**
	 * Cuts the direction to the target.
	 */
	void cutForward() {
		this.forward.setCut(true);
	}

	/**
	 * Cuts the direction from the target.
	 */
	void cutBackward() {
		this.backward.setCut(true);
	}

	/**
	 * Delays each chunk in both directions.
	 * @param delay the delay of one chunk
	 */
	void delay(Duration delay) {
		this.forward.setDelay(delay);
		this.backward.setDelay(delay);
	}

	/**
	 * Ends all cuts and delays.
	 */
	void heal() {
		delay(Duration.ZERO);
		this.forward.setCut(false);
		this.backward.setCut(false);
	}

	@Override
	public void close() {
		closeQuietly(this.server);
		heal();
		this.sockets.forEach(LinkRelay::closeQuietly);
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				connect(this.server.accept());
			}
			catch (IOException ex) {
				// accept() fails when the relay is closed, which ends the loop.
			}
		}
	}

	private void connect(Socket caller) {
		this.sockets.add(caller);
		Socket target = new Socket();
		this.sockets.add(target);
		try {
			target.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.targetPort));
			target.setTcpNoDelay(true);
			caller.setTcpNoDelay(true);
		}
		catch (IOException ex) {
			closeBoth(caller, target);
			return;
		}
		startThread(() -> copy(caller, target, this.forward, new AddressRewriter(this.forwardPorts)), "relay-forward");
		startThread(() -> copy(target, caller, this.backward, new AddressRewriter(this.backwardPorts)),
				"relay-backward");
	}

	private void copy(Socket from, Socket to, Direction direction, AddressRewriter addresses) {
		try {
			from.setSoTimeout(FLUSH_TIMEOUT_MS);
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			byte[] buffer = new byte[BUFFER_BYTES];
			int length = 0;
			while (length >= 0) {
				length = read(in, buffer);
				byte[] bytes = (length > 0) ? addresses.rewrite(buffer, length) : addresses.flush();
				if (bytes.length > 0 || length < 0) {
					direction.awaitTransmission();
					out.write(bytes);
				}
			}
			to.shutdownOutput();
		}
		catch (IOException ex) {
			closeBoth(from, to);
		}
		finally {
			if (from.isOutputShutdown() && to.isOutputShutdown()) {
				closeBoth(from, to);
			}
		}
	}

	private static int read(InputStream in, byte[] buffer) throws IOException {
		try {
			return in.read(buffer);
		}
		catch (SocketTimeoutException ex) {
			return 0;
		}
	}

	private void closeBoth(Socket first, Socket second) {
		closeQuietly(first);
		closeQuietly(second);
		this.sockets.remove(first);
		this.sockets.remove(second);
	}

	private static void closeQuietly(AutoCloseable socket) {
		try {
			socket.close();
		}
		catch (Exception ex) {
			// Nothing to do: the resource is no longer used.
		}
	}

	private static void startThread(Runnable task, String name) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * The state of one direction of the relay. Thread-safe.
	 */
	private static final class Direction {

		private boolean cut;

		private Duration delay = Duration.ZERO;

		private synchronized void setCut(boolean newCut) {
			this.cut = newCut;
			notifyAll();
		}

		private synchronized void setDelay(Duration newDelay) {
			this.delay = newDelay;
		}

		private void awaitTransmission() {
			LockSupport.parkNanos(awaitHealed().toNanos());
		}

		private synchronized Duration awaitHealed() {
			while (this.cut) {
				try {
					wait();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
					return Duration.ZERO;
				}
			}
			return this.delay;
		}

	}

}
