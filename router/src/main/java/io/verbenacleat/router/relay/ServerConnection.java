package io.verbenacleat.router.relay;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * A connection to a backend server, used by one request at a time. Not thread safe;
 * confined to the event loop of its channel.
 * <p>
 * A response that names another request is skipped. The connection is not reused after a
 * skipped response, after surplus bytes, or after a response that arrived before the
 * request was written. A head that may consist of two ends the connection.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {

	private static final int SUCCESS = 200;

	private static final int REDIRECTION = 300;

	/**
	 * A server sends only a few interim responses (RFC 9110, section 15.2) before the
	 * final one.
	 */
	private static final int MAX_INTERIM_RESPONSES = 16;

	/** Larger than any late response to another request. */
	private static final int MAX_SKIPPED_BYTES = 65_536;

	/**
	 * The rest of a rejected response is read up to this length, so that the connection
	 * can be reused.
	 */
	private static final int MAX_DISCARDED_BYTES = 8_192;

	/**
	 * Maximum time to read the rest of a rejected response. A new connection takes only a
	 * millisecond, so a longer wait is not worthwhile.
	 */
	private static final long MAX_DISCARD_MS = 200;

	private final ServerConnections pool;

	private final String incarnationKey;

	private final String requestIdHeader;

	private final Channel channel;

	private final ServerResponseDecoder decoder;

	private final long openedAtMs;

	private @Nullable ServerExchange exchange;

	private long idleSinceMs;

	private long idleLimitMs = ServerConnections.MAX_IDLE_MS;

	/** The method of the last request that was sent. */
	private HttpMethod method = HttpMethod.GET;

	private boolean requestWritten;

	private boolean responding;

	private boolean skippingResponse;

	private boolean discardingBody;

	private boolean usedBefore;

	private int requestCount;

	private long sentAtMs;

	/** The bytes of the body of the current response. */
	private long bodyBytes;

	private int interimResponses;

	private int skippedBytes;

	private @Nullable SplicedBodyScanner scanner;

	/** The bytes after the request that precede the current body. */
	private long bodyStart;

	private boolean delimited = true;

	private boolean reset;

	private boolean reusable = true;

	ServerConnection(ServerConnections pool, String incarnationKey, String requestIdHeader, Channel channel) {
		this.pool = pool;
		this.incarnationKey = incarnationKey;
		this.requestIdHeader = requestIdHeader;
		this.channel = channel;
		this.decoder = channel.pipeline().get(ServerResponseDecoder.class);
		this.openedAtMs = pool.nowMs();
	}

	/**
	 * Returns the pool's key for the incarnation of the server.
	 * @return the key
	 */
	String incarnationKey() {
		return this.incarnationKey;
	}

	/**
	 * Returns whether the end of a response does not depend on the end of its connection.
	 * @param response the head of the response
	 * @param method the method of the request
	 * @return {@code true} if it has a length or chunks, or never has a body
	 */
	static boolean isDelimited(HttpResponse response, HttpMethod method) {
		return method.equals(HttpMethod.HEAD) || HttpUtil.isContentLengthSet(response)
				|| HttpUtil.isTransferEncodingChunked(response)
				|| response.status().equals(HttpResponseStatus.NO_CONTENT)
				|| response.status().equals(HttpResponseStatus.NOT_MODIFIED);
	}

	/**
	 * Sends a request.
	 * @param newExchange receives the response
	 * @param request the request, released by the write
	 */
	void send(ServerExchange newExchange, FullHttpRequest request) {
		this.exchange = newExchange;
		this.requestWritten = false;
		this.responding = false;
		this.interimResponses = 0;
		this.skippedBytes = 0;
		this.bodyBytes = 0;
		SplicedBodyScanner newScanner = new SplicedBodyScanner(this.requestIdHeader, newExchange.requestId());
		this.scanner = newScanner;
		this.requestCount++;
		this.sentAtMs = this.pool.nowMs();
		this.method = request.method();
		this.decoder.expectResponse(this.method, newScanner);
		this.channel.writeAndFlush(request).addListener((written) -> onRequestWritten(written.cause()));
	}

	// A write that fails closes the channel without an exception on the reading side, so
	// that the end of the connection would look orderly.
	private void onRequestWritten(@Nullable Throwable failure) {
		this.requestWritten = failure == null;
		if (failure instanceof IOException && !(failure instanceof ClosedChannelException)) {
			this.reset = true;
		}
	}

	/**
	 * Closes the connection and ignores the response, which also cancels the request at
	 * the server.
	 */
	void abandon() {
		this.exchange = null;
		this.channel.close();
	}

	/**
	 * Discards the rest of a response that is not forwarded. The connection is reused
	 * only if that rest is short and arrives within 200 ms.
	 * @param head the head of the response
	 */
	void discardRest(HttpResponse head) {
		this.exchange = null;
		long length = HttpUtil.getContentLength(head, Long.MAX_VALUE);
		if (!this.reusable || length > MAX_DISCARDED_BYTES) {
			this.channel.close();
			return;
		}
		this.discardingBody = true;
		this.channel.eventLoop().schedule(() -> {
			if (this.discardingBody) {
				this.channel.close();
			}
		}, MAX_DISCARD_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Starts or stops reading, as backpressure when the caller reads slower than the
	 * server writes.
	 * @param reading whether to read
	 */
	void setReading(boolean reading) {
		this.channel.config().setAutoRead(reading);
	}

	boolean isUsable(long nowMs) {
		return this.channel.isActive() && this.reusable && nowMs - this.idleSinceMs < this.idleLimitMs;
	}

	/**
	 * Returns whether the connection has been used by an earlier request.
	 * @return {@code false} until its first response is complete
	 */
	boolean isKept() {
		return this.usedBefore;
	}

	/**
	 * Returns whether the connection was opened by a given time.
	 * @param timeMs the steady time in milliseconds
	 * @return {@code false} if it was opened later
	 */
	boolean wasOpenedBy(long timeMs) {
		return this.openedAtMs <= timeMs;
	}

	/**
	 * Returns whether the connection was opened by a given time and is still open.
	 * @param timeMs the steady time in milliseconds
	 * @return {@code true} if the process that accepted it at that time still has it
	 */
	boolean isOpenSince(long timeMs) {
		return wasOpenedBy(timeMs) && this.channel.isActive();
	}

	/**
	 * Returns whether the current request was sent later than a given time.
	 * @param timeMs the steady time in milliseconds
	 * @return {@code false} also if no request was sent
	 */
	boolean isSentAfter(long timeMs) {
		return this.requestCount > 0 && this.sentAtMs > timeMs;
	}

	boolean isIdleSinceBefore(long timeMs) {
		return this.idleSinceMs <= timeMs;
	}

	void close() {
		this.channel.close();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		try {
			this.pool.observer().onBytes(this);
			if (message instanceof HttpResponse response) {
				readHead(response);
			}
			if (message instanceof HttpContent content) {
				readBody(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		if (this.exchange != null) {
			this.exchange.onReadComplete();
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof ServerResponseDecoder.UnexpectedBytes) {
			reportSurplus(null);
			this.channel.close();
			return;
		}
		context.fireUserEventTriggered(event);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		ServerExchange failed = this.exchange;
		this.exchange = null;
		this.pool.onClosed(this, failed != null);
		if (failed != null) {
			failed.onClosed(this.reset ? "connection reset" : "connection closed");
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (cause instanceof IOException) {
			this.reset = true;
			context.close();
		}
		else {
			fail("response cannot be parsed: " + cause.getMessage());
			context.close();
		}
	}

	private void readHead(HttpResponse response) {
		this.bodyStart = this.decoder.decodedBytes();
		ServerExchange current = this.exchange;
		if (current == null) {
			reportSurplus(response);
			this.channel.close();
			return;
		}
		if (response.decoderResult().isFailure()) {
			report(ResponseFault.INVALID_HEAD, response);
			failAndClose("response is not valid HTTP");
			return;
		}
		ResponseFault fault = ResponseHeadCheck.check(response, this.requestIdHeader);
		if (fault != null) {
			report(fault, response);
			failAndClose("response head is not one head: " + fault.label());
			return;
		}
		if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			this.skippingResponse = true;
			this.interimResponses++;
			if (this.interimResponses > MAX_INTERIM_RESPONSES) {
				report(ResponseFault.TOO_MANY_INTERIM, response);
				failAndClose("too many interim responses");
			}
			return;
		}
		HttpHeaders headers = response.headers();
		String echoedId = headers.get(this.requestIdHeader);
		boolean success = response.status().code() >= SUCCESS && response.status().code() < REDIRECTION;
		// On a reused connection this may be a late response to another request.
		if (echoedId == null && !current.requestId().isEmpty() && this.usedBefore) {
			report(ResponseFault.NO_REQUEST_ID, response);
			failAndClose("response has no request id");
			return;
		}
		boolean mayOmitRequestId = echoedId == null && (!success || current.requestId().isEmpty());
		if (!mayOmitRequestId && !current.requestId().equals(echoedId)) {
			report(ResponseFault.OTHER_REQUEST, response);
			this.skippingResponse = true;
			this.reusable = false;
			return;
		}
		this.skippingResponse = false;
		this.bodyBytes = 0;
		this.responding = true;
		this.delimited = isDelimited(response, this.method);
		if (!HttpUtil.isKeepAlive(response) || !this.delimited) {
			this.reusable = false;
		}
		this.idleLimitMs = KeepAliveHeader.idleLimitMs(headers.get(HttpHeaderNames.KEEP_ALIVE.toString()));
		this.pool.observer().onResponse(this);
		current.onHead(response);
	}

	private void report(ResponseFault fault, @Nullable HttpResponse head) {
		ServerExchange current = this.exchange;
		String receivedId = (head != null) ? head.headers().get(this.requestIdHeader) : null;
		this.pool.onFault(fault)
			.with("server", this.incarnationKey)
			.with("connection", this.channel.id().asShortText())
			.with("requests", this.requestCount)
			.with("request", (current != null) ? current.requestId() : "")
			.with("received_request", (receivedId != null) ? receivedId : "")
			.with("status", (head != null) ? head.status().code() : 0)
			.with("body_bytes", this.bodyBytes)
			.with("since_sent_ms", this.pool.nowMs() - this.sentAtMs)
			.emit();
	}

	// Surplus bytes are decoded, too, when they come with the response.
	private void reportSurplus(@Nullable HttpResponse head) {
		if (this.reusable) {
			report(ResponseFault.SURPLUS, head);
		}
		this.reusable = false;
	}

	private void readBody(HttpContent content) {
		if (this.exchange == null && !this.discardingBody) {
			return;
		}
		if (content.decoderResult().isFailure()) {
			report(ResponseFault.INVALID_BODY, null);
			failAndClose("response body cannot be parsed");
			return;
		}
		this.bodyBytes += content.content().readableBytes();
		boolean last = content instanceof LastHttpContent;
		if (this.discardingBody) {
			discardBody(last);
			return;
		}
		if (isSpliced(last)) {
			report(ResponseFault.SPLICED_BODY, null);
			failAndClose("response body contains another response");
			return;
		}
		if (this.skippingResponse) {
			this.skippingResponse = !last;
			this.skippedBytes += content.content().readableBytes();
			if (this.skippedBytes > MAX_SKIPPED_BYTES) {
				report(ResponseFault.TOO_LONG_TO_SKIP, null);
				failAndClose("response to another request is too long");
			}
			return;
		}
		ServerExchange current = this.exchange;
		if (current == null || !this.responding) {
			return;
		}
		if (content.content().isReadable()) {
			current.onContent(content.content());
		}
		if (last && this.exchange == current) {
			complete(current);
		}
	}

	private boolean isSpliced(boolean last) {
		SplicedBodyScanner current = this.scanner;
		return current != null && current.isSpliced(this.bodyStart, this.decoder.decodedBytes(),
				last && this.decoder.hasRemainingBytes());
	}

	private void complete(ServerExchange finished) {
		this.exchange = null;
		if (!this.delimited && this.reset) {
			finished.onClosed("connection reset");
			return;
		}
		returnToPool();
		finished.onComplete();
	}

	private void discardBody(boolean last) {
		if (last) {
			this.discardingBody = false;
			returnToPool();
		}
	}

	private void returnToPool() {
		if (!this.requestWritten) {
			this.reusable = false;
		}
		this.decoder.endResponse();
		if (this.decoder.hasRemainingBytes()) {
			reportSurplus(null);
		}
		this.usedBefore = true;
		this.pool.release(this);
	}

	void markIdle(long nowMs) {
		this.idleSinceMs = nowMs;
		this.responding = false;
		if (!this.channel.config().isAutoRead()) {
			this.channel.config().setAutoRead(true);
		}
	}

	Channel channel() {
		return this.channel;
	}

	boolean isReusable() {
		return this.reusable && this.channel.isActive();
	}

	private void failAndClose(String reason) {
		fail(reason);
		this.channel.close();
	}

	private void fail(String reason) {
		ServerExchange failed = this.exchange;
		this.exchange = null;
		if (failed != null) {
			failed.onFailed(reason);
		}
	}

}
