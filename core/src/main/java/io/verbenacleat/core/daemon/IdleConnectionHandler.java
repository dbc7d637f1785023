package io.verbenacleat.core.daemon;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;

/**
 * Closes a connection whose peer stalls. The peer stalls if it sends no further part of a
 * request body for the idle timeout, or if it receives no part of a pending response; in
 * the latter case the connection is closed between one and two timeouts after the last
 * progress. A connection stays open between two requests and while its response is not
 * available yet. Not safe for use by several threads; Netty calls it on the event loop of
 * the connection.
 */
final class IdleConnectionHandler extends IdleStateHandler {

	private boolean bodyIncomplete;

	IdleConnectionHandler(Duration timeout) {
		super(true, timeout.toMillis(), timeout.toMillis(), 0, TimeUnit.MILLISECONDS);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		if (message instanceof HttpRequest) {
			this.bodyIncomplete = true;
		}
		if (message instanceof LastHttpContent) {
			this.bodyIncomplete = false;
		}
		super.channelRead(context, message);
	}

	@Override
	protected void channelIdle(ChannelHandlerContext context, IdleStateEvent event) {
		boolean stalled = switch (event.state()) {
			// With automatic reads off, this server has paused reading, not the peer.
			case READER_IDLE -> this.bodyIncomplete && context.channel().config().isAutoRead();
			// The first event also occurs while a large write makes progress.
			case WRITER_IDLE -> !event.isFirst() && hasUnsentBytes(context);
			case ALL_IDLE -> false;
		};
		if (stalled) {
			context.close();
		}
	}

	private static boolean hasUnsentBytes(ChannelHandlerContext context) {
		ChannelOutboundBuffer unsent = context.channel().unsafe().outboundBuffer();
		return unsent != null && unsent.totalPendingWriteBytes() > 0;
	}

}
