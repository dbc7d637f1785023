package io.verbenacleat.core.rpc;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.grpc.Channel;
import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;

/**
 * Keeps one gRPC channel for each address of the fleet. Safe for use by several threads.
 */
public final class Channels implements AutoCloseable {

	/**
	 * Finds a silent peer, such as one behind a one-way partition, within some seconds.
	 */
	private static final int KEEP_ALIVE_INTERVAL_SECONDS = 10;

	private static final int KEEP_ALIVE_TIMEOUT_SECONDS = 5;

	private static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

	private final FleetSecret secret;

	private final Map<String, ManagedChannel> channels = new ConcurrentHashMap<>();

	/**
	 * Creates an empty set of channels.
	 * @param secret the secret that is sent with each call
	 */
	public Channels(FleetSecret secret) {
		this.secret = secret;
	}

	/**
	 * Returns the channel to an address.
	 * @param address host:port
	 * @return the channel, connected when first used
	 */
	public Channel get(String address) {
		return this.channels.computeIfAbsent(address, this::open);
	}

	/**
	 * Closes the channel to an address that is no longer in use; calls in progress go on.
	 * @param address host:port
	 */
	public void release(String address) {
		ManagedChannel channel = this.channels.remove(address);
		if (channel != null) {
			channel.shutdown();
		}
	}

	@Override
	public void close() {
		this.channels.values().forEach(ManagedChannel::shutdownNow);
		this.channels.clear();
	}

	private ManagedChannel open(String address) {
		return NettyChannelBuilder.forTarget("dns:///" + address)
			.usePlaintext()
			.disableRetry()
			.maxInboundMessageSize(MAX_MESSAGE_BYTES)
			.keepAliveTime(KEEP_ALIVE_INTERVAL_SECONDS, TimeUnit.SECONDS)
			.keepAliveTimeout(KEEP_ALIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
			.intercept(this.secret.clientInterceptor())
			.build();
	}

}
