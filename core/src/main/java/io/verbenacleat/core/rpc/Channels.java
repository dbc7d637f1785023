package io.verbenacleat.core.rpc;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.grpc.Channel;
import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;

/**
 * A cache of gRPC channels to processes of the fleet, one for each address. Channels add
 * the fleet secret to each call and do not retry calls. Safe for use by several threads.
 */
public final class Channels implements AutoCloseable {

	/**
	 * Together with the timeout, detects within 15 seconds a peer that does not respond,
	 * for example behind a one-way partition.
	 */
	private static final int KEEP_ALIVE_INTERVAL_SECONDS = 10;

	private static final int KEEP_ALIVE_TIMEOUT_SECONDS = 5;

	private static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

	private final FleetSecret secret;

	private final Map<String, ManagedChannel> channels = new ConcurrentHashMap<>();

	/**
	 * Creates an empty cache.
	 * @param secret the secret to send with each call
	 */
	public Channels(FleetSecret secret) {
		this.secret = secret;
	}

	/**
	 * Returns the channel to an address, and creates it if necessary.
	 * @param address the address as host:port
	 * @return the channel, which connects at its first call
	 */
	public Channel get(String address) {
		return this.channels.computeIfAbsent(address, this::open);
	}

	/**
	 * Closes the channel to an address that is no longer in use; calls in progress
	 * continue.
	 * @param address the address as host:port
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
