package io.verbenacleat.core.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;

import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;

/**
 * Adds a {@link RequestSequencer} to each connection of an {@link HttpServer}, and an
 * {@link IdleConnectionHandler} if the server has an idle timeout. Netty loads it as a
 * service. Safe for use by several threads.
 */
public final class HttpChannelExtension extends ChannelInitializerExtension {

	/** The name of the last handler in the pipeline of the HTTP server. */
	private static final String REQUEST_HANDLER = "handler";

	@Override
	public void postInitializeServerChildChannel(Channel channel) {
		channel.pipeline().addLast(new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel initialized) {
				ChannelPipeline pipeline = initialized.pipeline();
				if (pipeline.get(REQUEST_HANDLER) == null) {
					return;
				}
				if (initialized.localAddress() instanceof InetSocketAddress address) {
					Duration idleTimeout = HttpServer.idleTimeout(address.getPort());
					if (!idleTimeout.isZero()) {
						pipeline.addBefore(REQUEST_HANDLER, "idle-connection", new IdleConnectionHandler(idleTimeout));
					}
				}
				pipeline.addBefore(REQUEST_HANDLER, "request-sequencer", new RequestSequencer());
			}
		});
	}

}
