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
 * Closes a connection whose peer stops in the middle: one that sends no more of a body
 * for the idle timeout, and one that takes nothing of a response that waits to be sent.
 * The second is closed between one and two timeouts after its last progress. A connection
 * between two requests, and one whose response is not there yet, stay open. Used on the
 * event loop of its connection.
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
			// Without automatic reads this server has paused the connection, not its
			// peer.
			case READER_IDLE -> this.bodyIncomplete && context.channel().config().isAutoRead();
			// The first event also comes when a large write has made progress.
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
