package io.verbenacleat.core.rpc;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.grpc.BindableService;
import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;

/**
 * The gRPC server of a daemon; it refuses calls without the fleet secret. Safe for use by
 * several threads.
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
	 * @param host the IP number to bind
	 * @param port the port, 0 for any free one
	 * @param secret the secret that each call must carry
	 * @param services the services
	 * @return the running server
	 * @throws IOException when the port cannot be bound
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
	 * Returns the port that was bound.
	 * @return the port
	 */
	public int port() {
		return this.server.getPort();
	}

	/**
	 * Stops the server at once.
	 */
	@Override
	public void close() {
		this.server.shutdownNow();
	}

}
