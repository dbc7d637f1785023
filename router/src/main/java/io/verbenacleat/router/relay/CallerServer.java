package io.verbenacleat.router.relay;

import java.io.IOException;
import java.net.InetSocketAddress;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpVersion;
import io.verbenacleat.core.daemon.StrictRequestDecoder;
import io.verbenacleat.router.config.CallerLimits;

/**
 * HTTP server that accepts the connections of callers for the relay. Thread safe.
 */
public final class CallerServer implements AutoCloseable {

	private static final int BACKLOG = 1_024;

	private static final int MAX_CHUNK_BYTES = 16_384;

	/** Maximum reads of one connection before others are served; the default of Netty. */
	private static final int MAX_READS = 16;

	/**
	 * Reading from the backend server stops above the high mark and resumes below the low
	 * mark.
	 */
	private static final WriteBufferWaterMark WRITE_WATER_MARK = new WriteBufferWaterMark(32_768, 131_072);

	private final Channel channel;

	private CallerServer(Channel channel) {
		this.channel = channel;
	}

	/**
	 * Starts a server.
	 * @param loop the event loop of the relay
	 * @param relay handles the requests
	 * @param host the IP address to listen on
	 * @param port the port, 0 for any free one
	 * @return the running server
	 * @throws IOException if the address cannot be bound
	 */
	public static CallerServer start(EventLoopGroup loop, Relay relay, String host, int port) throws IOException {
		ServerBootstrap bootstrap = new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			// Reads until no bytes are left, so that the end of a connection is detected
			// together with its last request.
			.childOption(ChannelOption.RCVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS))
			.childOption(ChannelOption.SO_KEEPALIVE, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel accepted) {
					init(accepted, relay);
				}
			});
		return new CallerServer(ListeningSockets.bind(bootstrap, host, port));
	}

	/**
	 * Returns the port that the server listens on.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.channel.localAddress()).getPort();
	}

	@Override
	public void close() {
		this.channel.close().syncUninterruptibly();
	}

	private static void init(Channel accepted, Relay relay) {
		CallerLimits limits = relay.limits();
		CallerConnection connection = new CallerConnection(relay, accepted);
		accepted.pipeline()
			.addLast(new ReceivedBytesHandler(connection))
			.addLast(new CallerRequestDecoder(limits.headerBytes()))
			.addLast(new HttpResponseEncoder())
			.addLast(new RequestAggregator(limits.bodyBytes(), connection))
			.addLast(connection);
	}

	/**
	 * Notifies the connection of received bytes, before they are decoded.
	 */
	private static final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {

		private final CallerConnection connection;

		private ReceivedBytesHandler(CallerConnection connection) {
			this.connection = connection;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			this.connection.onBytesReceived();
			context.fireChannelRead(message);
		}

	}

	/**
	 * Names no method for a request whose first line cannot be read.
	 */
	private static final class CallerRequestDecoder extends StrictRequestDecoder {

		private CallerRequestDecoder(int headerBytes) {
			super(headerBytes, headerBytes, MAX_CHUNK_BYTES);
		}

		@Override
		protected HttpMessage createInvalidMessage() {
			return new DefaultFullHttpRequest(HttpVersion.HTTP_1_0, CallerConnection.UNREADABLE_METHOD, "/");
		}

	}

}
