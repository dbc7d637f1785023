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
 * An HTTP server on one port. The underlying server would bind a port that another of its
 * kind already serves without a failure, and releases its port some time after its stop;
 * this class checks the port before the start and waits for its release at the end. Safe
 * for use by several threads.
 */
public final class HttpServer implements AutoCloseable {

	/**
	 * The path of a request that could not be read; an application answers it with an
	 * error.
	 */
	public static final String UNREADABLE_PATH = RequestSequencer.UNREADABLE_PATH;

	/** A free port may be taken by another process between its choice and the bind. */
	private static final int FREE_PORT_ATTEMPTS = 5;

	private static final Duration PORT_RELEASE_TIMEOUT = Duration.ofSeconds(10);

	private static final Duration PORT_RELEASE_POLL_INTERVAL = Duration.ofMillis(5);

	/** By port, as Netty creates the extension that reads it and passes it nothing. */
	private static final Map<Integer, Duration> IDLE_TIMEOUTS = new ConcurrentHashMap<>();

	static {
		// Has Netty load HttpChannelExtension.
		System.setProperty(ChannelInitializerExtension.EXTENSIONS_SYSTEM_PROPERTY, "serviceload");
	}

	private final NettyServer server;

	private final ServerOptions options;

	private HttpServer(NettyServer server, ServerOptions options) {
		this.server = server;
		this.options = options;
	}

	/**
	 * Starts a server.
	 * @param app the application
	 * @param options the options, with host and port; port 0 for any free one
	 * @return the running server
	 * @throws IOException when the port cannot be bound
	 */
	public static HttpServer start(Jooby app, ServerOptions options) throws IOException {
		return start(app, options, Duration.ZERO);
	}

	/**
	 * Starts a server that closes connections whose peers stop in the middle of a body or
	 * of a response.
	 * @param app the application
	 * @param options the options, with host and port; port 0 for any free one
	 * @param idleTimeout how long a peer may stop, zero for any time
	 * @return the running server
	 * @throws IOException when the port cannot be bound
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
	 * Returns the port that was bound.
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
	 * @return the timeout, zero without one
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
			// The server throws checked exceptions, such as BindException, undeclared.
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
