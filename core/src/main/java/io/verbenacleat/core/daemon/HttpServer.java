package io.verbenacleat.core.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;

import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.netty.NettyServer;
import io.netty.bootstrap.ChannelInitializerExtension;

/**
 * An HTTP server on one port. The underlying Jooby server binds a port without an error
 * even if another such server already uses it, and releases its port some time after it
 * was stopped. This class therefore checks that the port is free before the start, and
 * waits after the stop until it is released. Safe for use by several threads.
 */
public final class HttpServer implements AutoCloseable {

	/**
	 * The path that replaces that of a request that could not be parsed; the application
	 * must respond with an error.
	 */
	public static final String UNREADABLE_PATH = RequestSequencer.UNREADABLE_PATH;

	/** Another process may bind a free port before this server does. */
	private static final int FREE_PORT_ATTEMPTS = 5;

	private static final Duration PORT_RELEASE_TIMEOUT = Duration.ofSeconds(10);

	private static final Duration PORT_RELEASE_POLL_INTERVAL = Duration.ofMillis(5);

	/**
	 * The idle timeouts by port. Static because Netty creates
	 * {@link HttpChannelExtension} without arguments.
	 */
	private static final Map<Integer, Duration> IDLE_TIMEOUTS = new ConcurrentHashMap<>();

	static {
		// Makes Netty load HttpChannelExtension as a service.
		System.setProperty(ChannelInitializerExtension.EXTENSIONS_SYSTEM_PROPERTY, "serviceload");
	}

	private final NettyServer server;

	private final ServerOptions options;

	private HttpServer(NettyServer server, ServerOptions options) {
		this.server = server;
		this.options = options;
	}

	/**
	 * Starts a server without an idle timeout.
	 * @param app the application
	 * @param options the options with host and port, port 0 for any free port
	 * @return the running server
	 * @throws IOException if the port cannot be bound
	 */
	public static HttpServer start(Jooby app, ServerOptions options) throws IOException {
		return start(app, options, Duration.ZERO);
	}

	/**
	 * Starts a server that closes connections whose peer stops sending a request body or
	 * receiving a response.
	 * @param app the application
	 * @param options the options with host and port, port 0 for any free port
	 * @param idleTimeout how long a peer may make no progress, zero for no timeout
	 * @return the running server
	 * @throws IOException if the port cannot be bound
	 */
	public static HttpServer start(Jooby app, ServerOptions options, Duration idleTimeout) throws IOException {
		boolean anyPort = options.getPort() == 0;
		for (int attempt = 1;; attempt++) {
			try {
				if (anyPort) {
					options.setPort(freePort(options.getHost()));
				}
				return startOnce(app, options, idleTimeout);
			}
			catch (IOException ex) {
				if (!anyPort || attempt == FREE_PORT_ATTEMPTS) {
					throw ex;
				}
			}
		}
	}

	/**
	 * Returns the port that the server is bound to.
	 * @return the port
	 */
	public int port() {
		return this.options.getPort();
	}

	@Override
	public void close() {
		this.server.stop();
		IDLE_TIMEOUTS.remove(this.options.getPort());
		long deadlineNanos = System.nanoTime() + PORT_RELEASE_TIMEOUT.toNanos();
		while (System.nanoTime() < deadlineNanos) {
			try {
				requireFreePort(this.options);
				return;
			}
			catch (IOException ex) {
				LockSupport.parkNanos(PORT_RELEASE_POLL_INTERVAL.toNanos());
			}
		}
	}

	/**
	 * Returns the idle timeout of the server on a port.
	 * @param port the port
	 * @return the timeout, zero if the server has none
	 */
	static Duration idleTimeout(int port) {
		return IDLE_TIMEOUTS.getOrDefault(port, Duration.ZERO);
	}

	private static HttpServer startOnce(Jooby app, ServerOptions options, Duration idleTimeout) throws IOException {
		requireFreePort(options);
		IDLE_TIMEOUTS.put(options.getPort(), idleTimeout);
		NettyServer server = new NettyServer();
		server.setOptions(options);
		try {
			server.start(app);
		}
		catch (Exception ex) {
			// The server throws undeclared checked exceptions, such as BindException.
			server.stop();
			IDLE_TIMEOUTS.remove(options.getPort());
			throw new IOException("Cannot bind " + options.getHost() + ":" + options.getPort(), ex);
		}
		return new HttpServer(server, options);
	}

	private static void requireFreePort(ServerOptions options) throws IOException {
		try (ServerSocket probe = new ServerSocket()) {
			probe.bind(new InetSocketAddress(options.getHost(), options.getPort()));
		}
		catch (IOException ex) {
			throw new IOException("Cannot bind " + options.getHost() + ":" + options.getPort() + ": " + ex.getMessage(),
					ex);
		}
	}

	private static int freePort(String host) throws IOException {
		try (ServerSocket socket = new ServerSocket()) {
			socket.bind(new InetSocketAddress(host, 0));
			return socket.getLocalPort();
		}
	}

}
