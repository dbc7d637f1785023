package io.verbenacleat.core.daemon;

import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;

/**
 * Adds {@link RequestSequencer} to each connection of an {@link HttpServer}. Loaded by
 * Netty as a service.
 */
public final class HttpChannelExtension extends ChannelInitializerExtension {

	/** The name that the HTTP server gives its last handler. */
	private static final String REQUEST_HANDLER = "handler";

	@Override
	public void postInitializeServerChildChannel(Channel channel) {
		channel.pipeline().addLast(new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel initialized) {
				if (initialized.pipeline().get(REQUEST_HANDLER) != null) {
					initialized.pipeline().addBefore(REQUEST_HANDLER, "request-sequencer", new RequestSequencer());
				}
			}
		});
	}

}
