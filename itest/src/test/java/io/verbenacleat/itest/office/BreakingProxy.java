package io.verbenacleat.itest.office;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A TCP proxy between an agent and its engine that breaks some connections after a random
 * number of response bytes. Thread-safe.
 */
final class BreakingProxy implements AutoCloseable {

	private static final int MAX_BYTES_BEFORE_BREAK = 4_000;

	private final URI target;

	private final ServerSocket server;

	private final SplittableRandom random;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final AtomicInteger brokenConnections = new AtomicInteger();

	private double breakProbability;

	/**
	 * Starts a proxy that breaks no connection yet.
	 * @param targetUrl the base URL of the engine
	 * @param seed the seed of all random choices
	 * @throws IOException when no port can be bound
	 */
	BreakingProxy(String targetUrl, long seed) throws IOException {
		this.target = URI.create(targetUrl);
		this.random = new SplittableRandom(seed);
		this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
		startDaemonThread(this::accept);
	}

	/**
	 * Returns the base URL of the proxy.
	 * @return the URL
	 */
	String url() {
		return "http://127.0.0.1:" + this.server.getLocalPort();
	}

	/**
	 * Sets the probability that a later connection breaks.
	 * @param probability the probability, 0 to 1
	 */
	synchronized void setBreakProbability(double probability) {
		this.breakProbability = probability;
	}

	/**
	 * Returns the number of connections that the proxy has broken.
	 * @return the number of connections
	 */
	int brokenConnections() {
		return this.brokenConnections.get();
	}

	@Override
	public void close() {
		try {
			this.server.close();
			for (Socket socket : this.sockets) {
				socket.close();
			}
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket agent = this.server.accept();
				Socket engine = new Socket(this.target.getHost(), this.target.getPort());
				this.sockets.add(agent);
				this.sockets.add(engine);
				startDaemonThread(() -> copy(agent, engine, Long.MAX_VALUE));
				startDaemonThread(() -> copy(engine, agent, nextBytesBeforeBreak()));
			}
			catch (IOException ex) {
				// The proxy was closed, or the engine refused the connection.
				continue;
			}
		}
	}

	private synchronized long nextBytesBeforeBreak() {
		boolean breaking = this.random.nextDouble() < this.breakProbability;
		return (breaking) ? 1 + this.random.nextInt(MAX_BYTES_BEFORE_BREAK) : Long.MAX_VALUE;
	}

	private void copy(Socket from, Socket to, long bytesBeforeBreak) {
		byte[] buffer = new byte[512];
		long remainingBytes = bytesBeforeBreak;
		try (from; to; InputStream in = from.getInputStream(); OutputStream out = to.getOutputStream()) {
			int count = in.read(buffer);
			while (count >= 0 && remainingBytes > count) {
				out.write(buffer, 0, count);
				out.flush();
				remainingBytes -= count;
				count = in.read(buffer);
			}
			if (count >= 0) {
				out.write(buffer, 0, (int) remainingBytes);
				this.brokenConnections.incrementAndGet();
			}
		}
		catch (IOException ex) {
			this.sockets.remove(from);
		}
	}

	private static void startDaemonThread(Runnable task) {
		Thread thread = new Thread(task, "proxy");
		thread.setDaemon(true);
		thread.start();
	}

}
