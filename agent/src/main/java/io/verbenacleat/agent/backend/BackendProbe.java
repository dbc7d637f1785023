package io.verbenacleat.agent.backend;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Checks every 2 s whether the backend server accepts TCP connections. Safe for use by
 * several threads.
 */
public final class BackendProbe implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(BackendProbe.class);

	private static final int INTERVAL_SECONDS = 2;

	private static final int CONNECT_TIMEOUT_MS = 1_000;

	private static final int HTTP_PORT = 80;

	private static final int HTTPS_PORT = 443;

	private final Supplier<@Nullable String> url;

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "backend-probe");
		thread.setDaemon(true);
		return thread;
	});

	private volatile boolean reachable = true;

	/**
	 * Creates a probe that does nothing until {@link #start}.
	 * @param url the base URL of the backend server, {@code null} while there is none
	 */
	public BackendProbe(Supplier<@Nullable String> url) {
		this.url = url;
	}

	/**
	 * Starts the periodic probes.
	 */
	public void start() {
		this.executor.scheduleWithFixedDelay(this::probe, 0, INTERVAL_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * Returns whether the backend server accepted the last connection.
	 * @return {@code true} when it did, or before the first probe
	 */
	public boolean reachable() {
		return this.reachable;
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	private void probe() {
		String target = this.url.get();
		if (target == null) {
			return;
		}
		boolean connected = canConnect(target);
		if (connected != this.reachable) {
			this.reachable = connected;
			logger.info("Backend server {} is {}", target, (connected) ? "reachable" : "unreachable");
		}
	}

	private static boolean canConnect(String target) {
		try (Socket socket = new Socket()) {
			URI uri = URI.create(target);
			int defaultPort = ("https".equals(uri.getScheme())) ? HTTPS_PORT : HTTP_PORT;
			int port = (uri.getPort() > 0) ? uri.getPort() : defaultPort;
			socket.connect(new InetSocketAddress(uri.getHost(), port), CONNECT_TIMEOUT_MS);
			return true;
		}
		catch (IOException | IllegalArgumentException ex) {
			return false;
		}
	}

}
