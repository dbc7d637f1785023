package io.verbenacleat.core.rpc;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.grpc.BindableService;
import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;

/**
 * The gRPC server of a daemon, which rejects calls without the fleet secret. Safe for use
 * by several threads.
 */
public final class RpcServer implements AutoCloseable {

	private static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

	private static final int KEEP_ALIVE_SECONDS = 10;

	private static final int MIN_CLIENT_KEEP_ALIVE_SECONDS = 5;

	private final Server server;

	private RpcServer(Server server) {
		this.server = server;
	}

	/**
	 * Starts a server.
	 * @param host the IP address to bind
	 * @param port the port, 0 for any free port
	 * @param secret the secret that each call must contain
	 * @param services the services to offer
	 * @return the running server
	 * @throws IOException if the port cannot be bound
	 */
	public static RpcServer start(String host, int port, FleetSecret secret, List<BindableService> services)
			throws IOException {
		NettyServerBuilder builder = NettyServerBuilder.forAddress(new InetSocketAddress(host, port))
			.intercept(secret.serverInterceptor())
			.maxInboundMessageSize(MAX_MESSAGE_BYTES)
			.keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
			.permitKeepAliveTime(MIN_CLIENT_KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
			.permitKeepAliveWithoutCalls(true);
		services.forEach(builder::addService);
		return new RpcServer(builder.build().start());
	}

	/**
	 * Returns the port that the server is bound to.
	 * @return the port
	 */
	public int port() {
		return this.server.getPort();
	}

	/**
	 * Stops the server and cancels calls in progress.
	 */
	@Override
	public void close() {
		this.server.shutdownNow();
	}

}
