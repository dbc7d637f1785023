package io.verbenacleat.router.relay;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * One connection of a caller. Its requests are handled one at a time, in their order.
 * Used on its event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	/** With more requests waiting, no more is read from the connection. */
	private static final int MAX_PIPELINED = 4;

	private final Relay relay;

	private final Channel channel;

	private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();

	private @Nullable RequestRun run;

	private boolean closeAfterAnswer;

	private boolean closing;

	private long idleSinceMs;

	private long headStartedAtMs = -1;

	CallerConnection(Relay relay, Channel channel) {
		this.relay = relay;
		this.channel = channel;
		this.idleSinceMs = relay.nowMs();
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.relay.opened(this);
		context.fireChannelActive();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		this.headStartedAtMs = -1;
		if (this.closing || !(message instanceof FullHttpRequest request)) {
			ReferenceCountUtil.release(message);
			return;
		}
		this.waiting.add(request);
		if (this.run == null && this.waiting.size() == 1) {
			// After the rest of what was received: the caller may have left already.
			this.channel.eventLoop().execute(this::startNext);
		}
		if (this.waiting.size() >= MAX_PIPELINED) {
			this.channel.config().setAutoRead(false);
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.run != null) {
			this.run.onCallerWritable(this.channel.isWritable());
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.relay.closed(this);
		this.waiting.forEach(ReferenceCountUtil::release);
		this.waiting.clear();
		RequestRun current = this.run;
		this.run = null;
		if (current != null) {
			current.onCallerGone();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

	/**
	 * Notes that bytes of a request have come, which may not be complete.
	 */
	void onBytes() {
		if (this.run == null && this.headStartedAtMs < 0) {
			this.headStartedAtMs = this.relay.nowMs();
		}
	}

	/**
	 * Closes the connection if it breaks the limits, or is idle while the router stops.
	 * @param nowMs the steady time in milliseconds
	 * @param headerTimeoutMs the longest time for a request to come in
	 * @param idleTimeoutMs the longest idle time
	 */
	void checkLimits(long nowMs, long headerTimeoutMs, long idleTimeoutMs) {
		if (this.run != null || !this.waiting.isEmpty()) {
			return;
		}
		boolean slow = this.headStartedAtMs >= 0 && nowMs - this.headStartedAtMs > headerTimeoutMs;
		if (slow || (this.headStartedAtMs < 0 && nowMs - this.idleSinceMs > idleTimeoutMs)) {
			this.channel.close();
		}
	}

	/**
	 * Returns whether a request is in progress or coming in.
	 * @return {@code false} when the connection is idle
	 */
	boolean isBusy() {
		return this.run != null || !this.waiting.isEmpty() || this.headStartedAtMs >= 0;
	}

	boolean isWritable() {
		return this.channel.isWritable();
	}

	void close() {
		this.channel.close();
	}

	void sendHead(HttpResponse response) {
		if (this.closeAfterAnswer || this.relay.isStopping()) {
			this.closeAfterAnswer = true;
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		this.channel.write(response, this.channel.voidPromise());
	}

	void sendContent(ByteBuf content) {
		this.channel.write(new DefaultHttpContent(content), this.channel.voidPromise());
	}

	void flush() {
		this.channel.flush();
	}

	/**
	 * Ends a whole answer.
	 */
	void end() {
		finish(LastHttpContent.EMPTY_LAST_CONTENT);
	}

	/**
	 * Sends an answer of the router itself.
	 * @param status the status
	 * @param retryAfter the value of Retry-After, empty for none
	 * @param contentType the type of the body
	 * @param body the body
	 */
	void sendWhole(HttpResponseStatus status, String retryAfter, String contentType, byte[] body) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.wrappedBuffer(body));
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		if (!retryAfter.isEmpty()) {
			response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfter);
		}
		if (this.closeAfterAnswer || this.relay.isStopping()) {
			this.closeAfterAnswer = true;
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		finish(response);
	}

	/**
	 * Ends an answer early, so that it does not look complete.
	 */
	void abort() {
		this.run = null;
		this.channel.close();
	}

	private void finish(Object last) {
		this.run = null;
		this.idleSinceMs = this.relay.nowMs();
		if (this.closeAfterAnswer) {
			this.closing = true;
			this.channel.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
			return;
		}
		this.channel.writeAndFlush(last, this.channel.voidPromise());
		if (!this.waiting.isEmpty()) {
			// Not in this call stack, which may be that of the run before; until then
			// the request stays queued, so that later ones do not overtake it.
			this.channel.eventLoop().execute(this::startNext);
		}
	}

	private void startNext() {
		if (this.run != null || this.closing || !this.channel.isActive()) {
			return;
		}
		FullHttpRequest next = this.waiting.poll();
		if (this.waiting.isEmpty() && this.channel.isActive()) {
			this.channel.config().setAutoRead(true);
		}
		if (next != null) {
			start(next);
		}
	}

	private void start(FullHttpRequest request) {
		if (request.decoderResult().isFailure()) {
			this.closeAfterAnswer = true;
			boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
			request.release();
			Refusal refusal = tooLong ? Refusal.HEADERS_TOO_LARGE : Refusal.BAD_REQUEST;
			this.relay.answerUnreadable(this, refusal);
			return;
		}
		if (!HttpUtil.isKeepAlive(request)) {
			this.closeAfterAnswer = true;
		}
		RequestRun started = new RequestRun(this.relay, this, request);
		this.run = started;
		try {
			started.start();
		}
		catch (RuntimeException ex) {
			this.relay.onUnexpectedError(started, ex);
		}
	}

}
