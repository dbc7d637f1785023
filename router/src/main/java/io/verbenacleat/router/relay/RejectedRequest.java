package io.verbenacleat.router.relay;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A request without its body, which the router refuses when its turn comes. The content
 * that arrives before the next request is skipped.
 */
final class RejectedRequest extends DefaultFullHttpRequest {

	private final Refusal refusal;

	private final boolean lastOfConnection;

	/**
	 * Creates a rejected request.
	 * @param request the head of the request
	 * @param refusal the reason
	 * @param lastOfConnection whether the connection is closed after the response
	 */
	RejectedRequest(HttpRequest request, Refusal refusal, boolean lastOfConnection) {
		super(request.protocolVersion(), request.method(), request.uri(), Unpooled.EMPTY_BUFFER, request.headers(),
				new DefaultHttpHeaders());
		this.refusal = refusal;
		this.lastOfConnection = lastOfConnection;
	}

	Refusal refusal() {
		return this.refusal;
	}

	boolean isLastOfConnection() {
		return this.lastOfConnection;
	}

}
