package io.verbenacleat.router.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/**
 * Collects the body of each request, up to a limit. Sends nothing itself, unlike its
 * superclass, because the responses to earlier requests of the connection may be under
 * way: {@link CallerConnection} refuses requests whose body is too large or whose
 * expectation is unknown, and sends 100 Continue, when their turn comes.
 */
final class RequestAggregator extends HttpObjectAggregator {

	private final CallerConnection connection;

	RequestAggregator(int maxBodyBytes, CallerConnection connection) {
		super(maxBodyBytes);
		this.connection = connection;
	}

	@Override
	protected @Nullable Object newContinueResponse(HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
		if (hasExpectation(start) && !isRejected(start, maxContentLength)) {
			start.headers().remove(HttpHeaderNames.EXPECT);
			this.connection.onContinueExpected();
		}
		return null;
	}

	@Override
	protected boolean isContentLengthInvalid(HttpMessage start, int maxContentLength) {
		return isRejected(start, maxContentLength);
	}

	@Override
	protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
		HttpRequest request = (HttpRequest) oversized;
		Refusal refusal = hasUnknownExpectation(request) ? Refusal.EXPECTATION_FAILED : Refusal.BODY_TOO_LARGE;
		// The end of a body without length may never come.
		boolean last = refusal == Refusal.EXPECTATION_FAILED || oversized instanceof FullHttpMessage
				|| !HttpUtil.isKeepAlive(oversized);
		context.fireChannelRead(new RejectedRequest(request, refusal, last));
	}

	private boolean isRejected(HttpMessage start, int maxContentLength) {
		return start.decoderResult().isSuccess()
				&& (super.isContentLengthInvalid(start, maxContentLength) || hasUnknownExpectation(start));
	}

	// RFC 9110, section 10.1.1: an expectation in an HTTP/1.0 request is ignored.
	private static boolean hasExpectation(HttpMessage message) {
		return message.decoderResult().isSuccess() && message.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0
				&& message.headers().contains(HttpHeaderNames.EXPECT);
	}

	private static boolean hasUnknownExpectation(HttpMessage message) {
		return hasExpectation(message) && !HttpHeaderValues.CONTINUE.toString()
			.equalsIgnoreCase(message.headers().get(HttpHeaderNames.EXPECT));
	}

}
