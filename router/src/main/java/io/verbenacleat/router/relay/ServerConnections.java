package io.verbenacleat.router.relay;

import java.net.ConnectException;
import java.net.SocketException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.verbenacleat.router.log.DecisionLog;
import io.verbenacleat.router.server.BackendServer;
import io.verbenacleat.router.server.ServerList;
import org.jspecify.annotations.Nullable;

/**
 * Pool of connections to backend servers, grouped by the incarnation of the server. Not
 * thread safe; confined to one event loop.
 */
final class ServerConnections {

	/** Maximum idle time of a connection; a server may state a shorter one. */
	static final long MAX_IDLE_MS = 4_000;

	/**
	 * TCP retransmits a lost SYN packet after one second; trying another server is
	 * faster.
	 */
	private static final int CONNECT_TIMEOUT_MS = 350;

	private final Bootstrap bootstrap;

	private final String requestIdHeader;

	private final LongSupplier nowMs;

	private final DecisionLog log;

	private final RelayMetrics metrics;

	private final Map<String, Deque<ServerConnection>> idleConnections = new HashMap<>();

	/** The connections that are open or being opened, by incarnation. */
	private final Map<String, Integer> openCounts = new HashMap<>();

	private final Map<String, Set<ServerConnection>> openConnections = new HashMap<>();

	private Observer observer = new Observer() {
	};

	ServerConnections(EventLoop loop, String requestIdHeader, LongSupplier nowMs, DecisionLog log,
			RelayMetrics metrics) {
		this.requestIdHeader = requestIdHeader;
		this.nowMs = nowMs;
		this.log = log;
		this.metrics = metrics;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline().addLast(new HttpRequestEncoder(), new ServerResponseDecoder());
				}
			});
	}

	/**
	 * Provides an idle connection to an exchange, or opens one.
	 * @param server the server
	 * @param maxConnections the maximum number of connections to the server
	 * @param exchange receives the connection, or the failure to get one
	 */
	void acquire(BackendServer server, int maxConnections, ServerExchange exchange) {
		String key = incarnationKey(server);
		Deque<ServerConnection> pool = this.idleConnections.get(key);
		while (pool != null && !pool.isEmpty()) {
			ServerConnection connection = pool.pop();
			if (connection.isUsable(this.nowMs.getAsLong())) {
				exchange.onConnected(connection);
				return;
			}
			connection.close();
		}
		if (this.openCounts.getOrDefault(key, 0) >= maxConnections) {
			exchange.onConnectFailed("all " + maxConnections + " connections are in use");
			return;
		}
		connect(server, key, exchange);
	}

	/**
	 * Closes the idle connections to incarnations that are no longer listed and to
	 * servers in evacuated zones.
	 * @param list the registered servers
	 */
	void update(ServerList list) {
		Set<String> keys = list.all()
			.stream()
			.filter((server) -> !list.isEvacuated(server))
			.map(ServerConnections::incarnationKey)
			.collect(Collectors.toSet());
		List<ServerConnection> unlisted = new ArrayList<>();
		this.idleConnections.entrySet().removeIf((entry) -> {
			boolean removed = !keys.contains(entry.getKey());
			if (removed) {
				unlisted.addAll(entry.getValue());
			}
			return removed;
		});
		unlisted.forEach(ServerConnection::close);
	}

	/**
	 * Closes idle connections that have reached their idle limit.
	 */
	void closeExpired() {
		long now = this.nowMs.getAsLong();
		this.idleConnections.values().forEach((pool) -> close(pool, (connection) -> !connection.isUsable(now)));
	}

	/**
	 * Closes the other connections to a server that have been idle since before a request
	 * was sent on a kept connection, which has got no response. Connections may go silent
	 * together and still look open, and the next request would be sent on one of those.
	 * @param server the server
	 * @param sent the connection of the request
	 * @param sentAtMs when the request was sent, by the steady time in milliseconds
	 * @return the number of closed connections
	 */
	int closeSilent(BackendServer server, ServerConnection sent, long sentAtMs) {
		Deque<ServerConnection> pool = this.idleConnections.get(incarnationKey(server));
		if (pool == null || !sent.isKept()) {
			return 0;
		}
		return close(pool, (connection) -> connection.isIdleSinceBefore(sentAtMs));
	}

	private static int close(Deque<ServerConnection> pool, Predicate<ServerConnection> condition) {
		List<ServerConnection> closing = pool.stream().filter(condition).toList();
		pool.removeAll(closing);
		closing.forEach(ServerConnection::close);
		return closing.size();
	}

	void release(ServerConnection connection) {
		if (!connection.isReusable()) {
			connection.close();
			return;
		}
		connection.markIdle(this.nowMs.getAsLong());
		this.idleConnections.computeIfAbsent(connection.incarnationKey(), (key) -> new ArrayDeque<>()).push(connection);
	}

	/**
	 * Removes a closed connection.
	 * @param connection the connection
	 * @param broken whether the server closed it before the response of a request
	 */
	void onClosed(ServerConnection connection, boolean broken) {
		String key = connection.incarnationKey();
		countClosed(key);
		Deque<ServerConnection> pool = this.idleConnections.get(key);
		if (pool != null) {
			pool.remove(connection);
		}
		this.openConnections.computeIfPresent(key, (unchanged, open) -> {
			open.remove(connection);
			return open.isEmpty() ? null : open;
		});
		this.observer.onClosed(connection, broken);
	}

	/**
	 * Sets the observer of all connections.
	 * @param observer the observer
	 */
	void setObserver(Observer observer) {
		this.observer = observer;
	}

	/**
	 * Returns the observer of all connections.
	 * @return the observer
	 */
	Observer observer() {
		return this.observer;
	}

	/**
	 * Returns how many connections to the incarnation of a server have been open since a
	 * given time.
	 * @param server the server
	 * @param timeMs the steady time in milliseconds
	 * @return the number of connections that were opened by then and are still open
	 */
	int countOpenSince(BackendServer server, long timeMs) {
		Set<ServerConnection> open = this.openConnections.getOrDefault(incarnationKey(server), Set.of());
		return (int) open.stream().filter((connection) -> connection.isOpenSince(timeMs)).count();
	}

	private void countClosed(String key) {
		this.openCounts.computeIfPresent(key, (unchanged, count) -> (count > 1) ? count - 1 : null);
	}

	/**
	 * Returns an idle connection to the incarnation of a server, which stays in the pool.
	 * @param server the server
	 * @param openedByMs the steady time in milliseconds by which it was opened
	 * @return the connection that was used last, {@code null} without one
	 */
	@Nullable
	Channel idleChannel(BackendServer server, long openedByMs) {
		Deque<ServerConnection> pool = this.idleConnections.get(incarnationKey(server));
		if (pool == null) {
			return null;
		}
		return pool.stream()
			.filter((connection) -> connection.isOpenSince(openedByMs))
			.findFirst()
			.map(ServerConnection::channel)
			.orElse(null);
	}

	/**
	 * Opens a connection and closes it, to find out whether a process listens at the
	 * address of a server.
	 * @param server the server
	 * @param listener receives the result
	 */
	void probe(BackendServer server, Consumer<ProbeResult> listener) {
		probe(server, (result, channel) -> {
			channel.close();
			listener.accept(result);
		});
	}

	/**
	 * Opens a connection that the listener closes.
	 * @param server the server
	 * @param listener receives the result and the connection, which is open only if it
	 * was accepted
	 */
	void probe(BackendServer server, BiConsumer<ProbeResult, Channel> listener) {
		ChannelFuture connecting = this.bootstrap.connect(server.host(), server.port());
		connecting.addListener((result) -> {
			Throwable failure = result.cause();
			listener.accept((failure != null) ? ProbeResult.of(failure) : ProbeResult.ACCEPTED, connecting.channel());
		});
	}

	/**
	 * Counts a fault and starts its log line.
	 * @param fault the fault
	 * @return the line
	 */
	DecisionLog.Line onFault(ResponseFault fault) {
		this.metrics.responseFault(fault);
		return this.log.event("response.unexpected").with("kind", fault.label());
	}

	long nowMs() {
		return this.nowMs.getAsLong();
	}

	private void connect(BackendServer server, String key, ServerExchange exchange) {
		this.openCounts.merge(key, 1, Integer::sum);
		ChannelFuture connecting = this.bootstrap.connect(server.host(), server.port());
		connecting.addListener((result) -> {
			if (result.isSuccess()) {
				ServerConnection connection = new ServerConnection(this, key, this.requestIdHeader,
						connecting.channel());
				this.openConnections.computeIfAbsent(key, (any) -> new HashSet<>()).add(connection);
				connecting.channel().pipeline().addLast(connection);
				exchange.onConnected(connection);
			}
			else {
				countClosed(key);
				exchange.onConnectFailed(ProbeResult.of(result.cause()),
						"connection failed: " + result.cause().getMessage());
			}
		});
	}

	/**
	 * Returns the key by which connections are grouped.
	 * @param server any registration of the server
	 * @return the key of its incarnation
	 */
	static String incarnationKey(BackendServer server) {
		return server.id() + "@" + server.startedAtMs() + "@" + server.host() + ":" + server.port();
	}

	/**
	 * Observes the connections to all servers.
	 */
	interface Observer {

		/**
		 * Called when bytes were received.
		 * @param connection the connection
		 */
		default void onBytes(ServerConnection connection) {
		}

		/**
		 * Called when the head of the response to the request in progress was received.
		 * @param connection the connection
		 */
		default void onResponse(ServerConnection connection) {
		}

		/**
		 * Called when a connection is closed.
		 * @param connection the connection
		 * @param broken whether the server closed it before the response of a request
		 */
		default void onClosed(ServerConnection connection, boolean broken) {
		}

	}

	/**
	 * The results of a new connection to a server.
	 */
	enum ProbeResult {

		/** A process accepts connections. */
		ACCEPTED,

		/** The host responds, and no process listens. */
		REFUSED,

		/**
		 * The connection was opened and reset at once, by a process that accepts no more
		 * connections or by the kernel for a process that is ending.
		 */
		RESET,

		/** Nothing responds. */
		UNREACHABLE;

		/**
		 * Classifies a connection that could not be opened.
		 * @param failure the failure of the connection
		 * @return the result
		 */
		static ProbeResult of(Throwable failure) {
			// Netty reports a timeout as a subclass of the exception for a refusal.
			if (failure instanceof ConnectException) {
				return (failure instanceof ConnectTimeoutException) ? UNREACHABLE : REFUSED;
			}
			boolean reset = failure instanceof SocketException
					&& String.valueOf(failure.getMessage()).contains("reset");
			return reset ? RESET : UNREACHABLE;
		}

	}

}
