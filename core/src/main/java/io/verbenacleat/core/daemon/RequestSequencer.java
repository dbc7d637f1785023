package io.verbenacleat.core.daemon;

import java.util.ArrayDeque;
import java.util.Queue;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Forwards the requests of a connection one at a time, each after the response to the
 * previous one was written. The HTTP server processes pipelined requests concurrently and
 * may send their responses in another order, so that a caller would assign a response to
 * the wrong request. A request that the decoder could not parse, or whose body has no
 * certain end, is replaced by one for {@link #UNREADABLE_PATH}, because its headers and
 * body may be missing, and nothing after it is forwarded. Not safe for use by several
 * threads; Netty calls it on the event loop of the connection.
 */
final class RequestSequencer extends ChannelDuplexHandler {

	/** The path that replaces that of a request that could not be parsed. */
	static final String UNREADABLE_PATH = "/bad-request";

	/** Reading from the connection pauses while more HTTP messages than this wait. */
	private static final int MAX_WAITING_MESSAGES = 64;

	private final Queue<Object> waiting = new ArrayDeque<>();

	private boolean responseInProgress;

	/**
	 * Whether a request could not be parsed, so that what follows may be a part of it.
	 */
	private boolean unreadable;

	private boolean forwarding;

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.unreadable) {
			ReferenceCountUtil.release(message);
			return;
		}
		this.unreadable = message instanceof HttpRequest request && isUnreadable(request);
		this.waiting.add(message);
		forwardWaiting(context);
		if (this.waiting.size() > MAX_WAITING_MESSAGES) {
			context.channel().config().setAutoRead(false);
		}
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		if (!(message instanceof LastHttpContent) || isInformational(message)) {
			context.write(message, promise);
			return;
		}
		ChannelPromise observed = promise.unvoid();
		observed.addListener((written) -> {
			this.responseInProgress = false;
			forwardWaiting(context);
		});
		context.write(message, observed);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		releaseWaiting();
		context.fireChannelInactive();
	}

	@Override
	public void handlerRemoved(ChannelHandlerContext context) {
		releaseWaiting();
	}

	private void forwardWaiting(ChannelHandlerContext context) {
		if (this.forwarding) {
			return;
		}
		this.forwarding = true;
		Object next = this.waiting.peek();
		while (next != null && !(next instanceof HttpRequest && this.responseInProgress)) {
			this.waiting.remove();
			if (next instanceof HttpRequest request) {
				this.responseInProgress = true;
				next = replaceIfUnreadable(request);
			}
			context.fireChannelRead(next);
			next = this.waiting.peek();
		}
		this.forwarding = false;
		if (this.waiting.isEmpty() && context.channel().isActive()) {
			context.channel().config().setAutoRead(true);
		}
	}

	private static Object replaceIfUnreadable(HttpRequest request) {
		if (!isUnreadable(request)) {
			return request;
		}
		ReferenceCountUtil.release(request);
		DefaultHttpRequest replacement = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, UNREADABLE_PATH);
		replacement.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		return replacement;
	}

	private static boolean isUnreadable(HttpRequest request) {
		return request.decoderResult().isFailure() || RequestFraming.check(request) != null;
	}

	private static boolean isInformational(Object message) {
		return message instanceof HttpResponse response
				&& response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
	}

	private void releaseWaiting() {
		this.waiting.forEach(ReferenceCountUtil::release);
		this.waiting.clear();
	}

}
