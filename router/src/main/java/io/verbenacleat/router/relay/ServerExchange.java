package io.verbenacleat.router.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Handles one request to a backend server and its response. All methods are called on the
 * event loop of the relay.
 */
interface ServerExchange {

	/**
	 * Returns the request id that the response must echo.
	 * @return the id, empty if the response has none
	 */
	String requestId();

	/**
	 * Called when a connection is available; nothing was sent yet.
	 * @param connection the connection, which the exchange now owns
	 */
	void onConnected(ServerConnection connection);

	/**
	 * Called when no connection is available; nothing was sent.
	 * @param reason the reason, for logs
	 */
	void onConnectFailed(String reason);

	/**
	 * Called when a connection could not be opened; nothing was sent.
	 * @param result how the connection failed
	 * @param reason the reason, for logs
	 */
	default void onConnectFailed(ServerConnections.ProbeResult result, String reason) {
		onConnectFailed(reason);
	}

	/**
	 * Called with the head of the response.
	 * @param response the head
	 */
	void onHead(HttpResponse response);

	/**
	 * Called with a part of the response body.
	 * @param content the bytes, released by the caller of this method
	 */
	void onContent(ByteBuf content);

	/**
	 * Called when all bytes received so far have been read.
	 */
	void onReadComplete();

	/**
	 * Called when the response is complete. The exchange no longer owns the connection.
	 */
	void onComplete();

	/**
	 * Called when the response ended before it was complete.
	 * @param reason the reason, for logs
	 */
	void onFailed(String reason);

	/**
	 * Called when the connection was closed before the response was complete.
	 * @param reason the reason, for logs
	 */
	default void onClosed(String reason) {
		onFailed(reason);
	}

}
