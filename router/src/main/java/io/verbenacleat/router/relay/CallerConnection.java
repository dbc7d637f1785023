package io.verbenacleat.router.relay;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.verbenacleat.core.daemon.RequestFramingException;
import org.jspecify.annotations.Nullable;

/**
 * A connection from a caller. Pipelined requests are handled one at a time, in the order
 * of their arrival. Not thread safe; confined to the event loop of its channel.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	/** Reading from the connection stops while this many requests are queued. */
	private static final int MAX_PIPELINED = 4;

	/**
	 * Stands for the method of a request whose first line cannot be read, which may be
	 * HEAD.
	 */
	static final HttpMethod UNREADABLE_METHOD = new HttpMethod("UNREADABLE");

	private static final byte[] NO_BODY = {};

	private final Relay relay;

	private final Channel channel;

	private final Deque<FullHttpRequest> pendingRequests = new ArrayDeque<>();

	private @Nullable RelayedRequest currentRequest;

	/** The method of the last request that was started. */
	private HttpMethod method = HttpMethod.GET;

	/** Whether the request that is being received waits for 100 Continue. */
	private boolean continueExpected;

	private boolean closeAfterResponse;

	private boolean closingAfterWrite;

	private long idleSinceMs;

	/** Complete responses of which the channel still holds bytes. */
	private int unsentResponses;

	/** The unsent bytes when the timeouts were last checked. */
	private long unsentBytes;

	private long requestStartedAtMs = -1;

	CallerConnection(Relay relay, Channel channel) {
		this.relay = relay;
		this.channel = channel;
		this.idleSinceMs = relay.nowMs();
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.relay.addCaller(this);
		context.fireChannelActive();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		this.requestStartedAtMs = -1;
		// The body has arrived or is refused.
		this.continueExpected = false;
		if (this.closingAfterWrite || !(message instanceof FullHttpRequest request)) {
			ReferenceCountUtil.release(message);
			return;
		}
		this.pendingRequests.add(request);
		if (this.currentRequest == null && this.pendingRequests.size() == 1) {
			// Deferred until all received bytes are read, because the caller may already
			// have disconnected.
			this.channel.eventLoop().execute(this::startNext);
		}
		if (this.pendingRequests.size() >= MAX_PIPELINED) {
			this.channel.config().setAutoRead(false);
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.currentRequest != null) {
			this.currentRequest.onCallerWritable(this.channel.isWritable());
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.relay.removeCaller(this);
		this.pendingRequests.forEach(ReferenceCountUtil::release);
		this.pendingRequests.clear();
		RelayedRequest current = this.currentRequest;
		this.currentRequest = null;
		if (current != null) {
			current.onCallerDisconnected();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

	/**
	 * Starts the timeout for receiving a request, unless one is in progress.
	 */
	void onBytesReceived() {
		if (this.currentRequest == null && this.requestStartedAtMs < 0) {
			this.requestStartedAtMs = this.relay.nowMs();
		}
	}

	/**
	 * Sends 100 Continue as soon as all earlier requests of the connection have their
	 * responses, unless the body arrives before.
	 */
	void onContinueExpected() {
		this.continueExpected = true;
		if (this.currentRequest == null && this.pendingRequests.isEmpty()) {
			sendContinue();
		}
	}

	/**
	 * Closes the connection if a request is received too slowly, or the connection is
	 * idle or the caller reads nothing of a complete response for too long.
	 * @param nowMs the monotonic time in milliseconds
	 * @param headerTimeoutMs the maximum time to receive a request, in milliseconds
	 * @param idleTimeoutMs the maximum idle time, in milliseconds
	 */
	void closeIfTimedOut(long nowMs, long headerTimeoutMs, long idleTimeoutMs) {
		if (this.currentRequest != null || !this.pendingRequests.isEmpty()) {
			return;
		}
		boolean receiving = this.requestStartedAtMs >= 0 && this.unsentResponses == 0;
		if (this.unsentResponses > 0) {
			checkProgress(nowMs);
		}
		long sinceMs = receiving ? this.requestStartedAtMs : this.idleSinceMs;
		if (nowMs - sinceMs > (receiving ? headerTimeoutMs : idleTimeoutMs)) {
			this.channel.close();
		}
	}

	private void checkProgress(long nowMs) {
		ChannelOutboundBuffer buffer = this.channel.unsafe().outboundBuffer();
		long bytes = (buffer != null) ? buffer.totalPendingWriteBytes() : 0;
		if (bytes != this.unsentBytes) {
			this.unsentBytes = bytes;
			this.idleSinceMs = nowMs;
		}
	}

	/**
	 * Returns whether a request is in progress, queued or being received, or bytes of a
	 * response are unsent, which a close would discard.
	 * @return {@code false} when the connection is idle
	 */
	boolean isBusy() {
		return this.currentRequest != null || !this.pendingRequests.isEmpty() || this.requestStartedAtMs >= 0
				|| this.unsentResponses > 0;
	}

	boolean isWritable() {
		return this.channel.isWritable();
	}

	void close() {
		this.channel.close();
	}

	void sendHead(HttpResponse response) {
		if (this.closeAfterResponse || this.relay.isStopping()) {
			this.closeAfterResponse = true;
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
	 * Ends a complete response.
	 */
	void endResponse() {
		finish(LastHttpContent.EMPTY_LAST_CONTENT);
	}

	/**
	 * Sends a response that the router itself created. A response to HEAD has the length
	 * of the body in its head, but no body; one to an unreadable method has neither.
	 * @param status the status
	 * @param retryAfter the value of Retry-After, empty for none
	 * @param contentType the content type of the body
	 * @param body the body
	 */
	void sendFullResponse(HttpResponseStatus status, String retryAfter, String contentType, byte[] body) {
		byte[] content = this.method.equals(UNREADABLE_METHOD) ? NO_BODY : body;
		// After HEAD the caller takes a body for the response to its next request.
		ByteBuf sent = this.method.equals(HttpMethod.HEAD) ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(content);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, sent);
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
		if (!retryAfter.isEmpty()) {
			response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfter);
		}
		if (this.closeAfterResponse || this.relay.isStopping()) {
			this.closeAfterResponse = true;
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		finish(response);
	}

	/**
	 * Closes the connection in the middle of a response, so that the response does not
	 * look complete.
	 */
	void abort() {
		this.currentRequest = null;
		this.channel.close();
	}

	private void finish(Object last) {
		this.currentRequest = null;
		this.idleSinceMs = this.relay.nowMs();
		this.closingAfterWrite = this.closeAfterResponse;
		this.unsentResponses++;
		this.channel.writeAndFlush(last).addListener((sent) -> onResponseSent(sent.isSuccess()));
		if (this.closingAfterWrite) {
			return;
		}
		if (this.pendingRequests.isEmpty()) {
			sendContinue();
		}
		else {
			// Deferred, because this call may come from the previous request. The next
			// one stays queued until then, so that later ones do not overtake it.
			this.channel.eventLoop().execute(this::startNext);
		}
	}

	private void onResponseSent(boolean success) {
		this.unsentResponses--;
		this.idleSinceMs = this.relay.nowMs();
		if (!success || (this.closingAfterWrite && this.unsentResponses == 0)) {
			this.channel.close();
		}
	}

	private void sendContinue() {
		if (!this.continueExpected || this.closingAfterWrite) {
			return;
		}
		this.continueExpected = false;
		this.requestStartedAtMs = this.relay.nowMs();
		this.channel.writeAndFlush(
				new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
				this.channel.voidPromise());
	}

	private void startNext() {
		if (this.currentRequest != null || this.closingAfterWrite || !this.channel.isActive()) {
			return;
		}
		FullHttpRequest next = this.pendingRequests.poll();
		if (this.pendingRequests.isEmpty() && this.channel.isActive()) {
			this.channel.config().setAutoRead(true);
		}
		if (next != null) {
			start(next);
		}
	}

	private static Refusal refusal(Throwable decodingFailure) {
		if (decodingFailure instanceof RequestFramingException framing && framing.isUnsupported()) {
			return Refusal.CODING_NOT_SUPPORTED;
		}
		return (decodingFailure instanceof TooLongFrameException) ? Refusal.HEADERS_TOO_LARGE : Refusal.BAD_REQUEST;
	}

	private void start(FullHttpRequest request) {
		this.method = request.method();
		if (request.decoderResult().isFailure()) {
			this.closeAfterResponse = true;
			Refusal refusal = refusal(request.decoderResult().cause());
			request.release();
			this.relay.reject(this, refusal, "");
			return;
		}
		if (request instanceof RejectedRequest rejected) {
			this.closeAfterResponse = rejected.isLastOfConnection();
			rejected.release();
			String requestId = rejected.headers().get(this.relay.headerNames().requestId());
			this.relay.reject(this, rejected.refusal(), (requestId != null) ? requestId : "");
			return;
		}
		if (!HttpUtil.isKeepAlive(request)) {
			this.closeAfterResponse = true;
		}
		RelayedRequest started = new RelayedRequest(this.relay, this, request);
		this.currentRequest = started;
		try {
			started.start();
		}
		catch (RuntimeException ex) {
			this.relay.onUnexpectedError(started, ex);
		}
	}

}
