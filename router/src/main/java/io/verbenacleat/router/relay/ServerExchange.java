package io.verbenacleat.router.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * One request on a connection to a backend server. All methods are called on the event
 * loop.
 */
interface ServerExchange {

	/**
	 * Returns the identity that the answer echoes.
	 * @return the identity, empty when the answer has none
	 */
	String requestId();

	/**
	 * The connection is there and nothing was sent yet.
	 * @param connection the connection, which {@link ServerConnection#send} writes to
	 */
	void onConnected(ServerConnection connection);

	/**
	 * No connection could be made; nothing was sent.
	 * @param reason why
	 */
	void onConnectFailed(String reason);

	/**
	 * The head of the answer.
	 * @param response the head
	 */
	void onHead(HttpResponse response);

	/**
	 * A part of the body.
	 * @param content the bytes, released by the caller of this method
	 */
	void onContent(ByteBuf content);

	/**
	 * No more bytes are there at the moment.
	 */
	void onReadComplete();

	/**
	 * The answer is complete; the connection is no longer used by this exchange.
	 */
	void onComplete();

	/**
	 * The answer is not complete and never will be.
	 * @param reason why
	 */
	void onFailed(String reason);

}
