package io.verbenacleat.router.relay;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * One connection to a backend server, used by one request at a time. Used on its event
 * loop.
 * <p>
 * An answer that names another request is skipped. After such an answer, after surplus
 * bytes, and when the answer came before the request was written, the connection is not
 * used again.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {

	private static final int SUCCESS = 200;

	private static final int REDIRECTION = 300;

	/**
	 * A server needs few interim answers (RFC 9110, section 15.2) before the final one.
	 */
	private static final int MAX_INTERIM_RESPONSES = 16;

	/** A late answer of another request is smaller; more bytes are no answer. */
	private static final int MAX_SKIPPED_BYTES = 65_536;

	/**
	 * The rest of a rejected answer is read when it is shorter, to keep the connection.
	 */
	private static final int MAX_DISCARDED_BYTES = 8_192;

	/**
	 * A new connection costs a millisecond; a rest that comes later is not worth a wait.
	 */
	private static final long MAX_DISCARD_MS = 200;

	private final ServerConnections pool;

	private final String incarnationKey;

	private final String requestIdHeader;

	private final Channel channel;

	private @Nullable ServerExchange exchange;

	private long idleSinceMs;

	private long idleLimitMs = ServerConnections.MAX_IDLE_MS;

	private boolean requestWritten;

	private boolean responding;

	private boolean skippingResponse;

	private boolean discardingBody;

	private boolean usedBefore;

	private int interimResponses;

	private int skippedBytes;

	private boolean delimited = true;

	private boolean reset;

	private boolean reusable = true;

	ServerConnection(ServerConnections pool, String incarnationKey, String requestIdHeader, Channel channel) {
		this.pool = pool;
		this.incarnationKey = incarnationKey;
		this.requestIdHeader = requestIdHeader;
		this.channel = channel;
	}

	/**
	 * Returns what identifies the incarnation of the server in the pool.
	 * @return the key
	 */
	String incarnationKey() {
		return this.incarnationKey;
	}

	/**
	 * Writes a request.
	 * @param newExchange takes the answer
	 * @param request the request, released by the write
	 */
	void send(ServerExchange newExchange, FullHttpRequest request) {
		this.exchange = newExchange;
		this.requestWritten = false;
		this.responding = false;
		this.interimResponses = 0;
		this.skippedBytes = 0;
		this.channel.writeAndFlush(request).addListener((written) -> this.requestWritten = written.isSuccess());
	}

	/**
	 * Gives up on the answer; the connection is closed, which tells the server.
	 */
	void abandon() {
		this.exchange = null;
		this.channel.close();
	}

	/**
	 * Gives up on the rest of an answer that is not forwarded. The connection is used
	 * again only if that rest is short and comes soon.
	 * @param head the head of the answer
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
	 * Starts or stops reading, when the caller reads slower than the server writes.
	 * @param reading whether to read
	 */
	void setReading(boolean reading) {
		this.channel.config().setAutoRead(reading);
	}

	boolean isUsable(long nowMs) {
		return this.channel.isActive() && this.reusable && nowMs - this.idleSinceMs < this.idleLimitMs;
	}

	void close() {
		this.channel.close();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		try {
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
	public void channelInactive(ChannelHandlerContext context) {
		this.pool.onClosed(this);
		fail(this.reset ? "connection reset" : "connection closed");
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (cause instanceof IOException) {
			this.reset = true;
			context.close();
		}
		else {
			fail("answer cannot be read: " + cause.getMessage());
			context.close();
		}
	}

	private void readHead(HttpResponse response) {
		ServerExchange current = this.exchange;
		if (current == null) {
			this.reusable = false;
			this.channel.close();
			return;
		}
		if (response.decoderResult().isFailure()) {
			failAndClose("answer is not HTTP");
			return;
		}
		if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			this.skippingResponse = true;
			this.interimResponses++;
			if (this.interimResponses > MAX_INTERIM_RESPONSES) {
				failAndClose("too many interim answers");
			}
			return;
		}
		HttpHeaders headers = response.headers();
		String echoedId = headers.get(this.requestIdHeader);
		boolean success = response.status().code() >= SUCCESS && response.status().code() < REDIRECTION;
		// On a connection that was used before it may be a late answer of another
		// request.
		if (echoedId == null && !current.requestId().isEmpty() && this.usedBefore) {
			failAndClose("answer names no request");
			return;
		}
		boolean mayOmitRequestId = echoedId == null && (!success || current.requestId().isEmpty());
		if (!mayOmitRequestId && !current.requestId().equals(echoedId)) {
			this.skippingResponse = true;
			this.reusable = false;
			return;
		}
		this.skippingResponse = false;
		this.responding = true;
		this.delimited = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
		if (!HttpUtil.isKeepAlive(response) || !this.delimited) {
			this.reusable = false;
		}
		this.idleLimitMs = KeepAliveHeader.idleLimitMs(headers.get(HttpHeaderNames.KEEP_ALIVE.toString()));
		current.onHead(response);
	}

	private void readBody(HttpContent content) {
		if (content.decoderResult().isFailure()) {
			failAndClose("answer is damaged");
			return;
		}
		boolean last = content instanceof LastHttpContent;
		if (this.discardingBody) {
			discardBody(last);
			return;
		}
		if (this.skippingResponse) {
			this.skippingResponse = !last;
			this.skippedBytes += content.content().readableBytes();
			if (this.skippedBytes > MAX_SKIPPED_BYTES) {
				failAndClose("too many bytes of another answer");
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

	private void complete(ServerExchange finished) {
		if (!this.delimited && this.reset) {
			fail("connection reset");
			return;
		}
		this.exchange = null;
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
