package io.verbenacleat.router.relay;

import java.io.IOException;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;

/**
 * Opens listening sockets. Stateless.
 */
public final class ListeningSockets {

	private ListeningSockets() {
	}

	/**
	 * Binds a socket.
	 * @param bootstrap what is to listen
	 * @param host the IP number
	 * @param port the port, 0 for any free one
	 * @return the open channel
	 * @throws IOException when the address cannot be used
	 */
	public static Channel bind(ServerBootstrap bootstrap, String host, int port) throws IOException {
		ChannelFuture bound = bootstrap.bind(host, port).awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IOException("Cannot listen on " + host + ":" + port + ": " + bound.cause().getMessage(),
					bound.cause());
		}
		return bound.channel();
	}

}
