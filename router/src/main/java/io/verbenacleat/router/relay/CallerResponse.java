package io.verbenacleat.router.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/**
 * Forwards the response of a backend server to the caller. Event streams are forwarded in
 * complete events only, so that another server can resume after the last one. Not thread
 * safe; confined to the event loop of the relay.
 */
final class CallerResponse {

	/** An event holds a few tokens, so more bytes without its end are not an event. */
	private static final int MAX_EVENT_BYTES = 262_144;

	private final CallerConnection caller;

	private final HeaderFilter headerFilter;

	private final EventScanner events = new EventScanner();

	private boolean started;

	private boolean stream;

	private long sentBytes;

	private @Nullable ByteBuf partialEvent;

	CallerResponse(CallerConnection caller, HeaderFilter headerFilter) {
		this.caller = caller;
		this.headerFilter = headerFilter;
	}

	/**
	 * Returns whether the response head was sent to the caller.
	 * @return {@code true} after {@link #start}
	 */
	boolean isStarted() {
		return this.started;
	}

	/**
	 * Returns the bytes of the body that were forwarded so far.
	 * @return the number of bytes
	 */
	long sentBytes() {
		return this.sentBytes;
	}

	/**
	 * Returns the number of complete events of a stream.
	 * @return the count, 0 for a response that is not a stream
	 */
	int eventCount() {
		return this.events.eventCount();
	}

	/**
	 * Returns whether a stream has at least one event and ends with a complete one.
	 * @return {@code false} for a stream that broke off
	 */
	boolean endsWithEvent() {
		return this.events.eventCount() > 0 && this.partialEvent == null;
	}

	/**
	 * Returns the id of the last complete event.
	 * @return the id, or {@code null} before the first event with an id
	 */
	@Nullable
	String lastEventId() {
		return this.events.lastId();
	}

	/**
	 * Forwards the head of the response.
	 * @param response the head that the backend server sent
	 * @param method the method of the request
	 * @param eventStream whether the body is an event stream
	 */
	void start(HttpResponse response, HttpMethod method, boolean eventStream) {
		this.started = true;
		this.stream = eventStream;
		HttpResponse copy = new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status());
		this.headerFilter.copyResponse(response.headers(), copy.headers());
		String length = response.headers().get(HttpHeaderNames.CONTENT_LENGTH);
		// Chunks override a length (RFC 9112, section 6.3), also where the decoder keeps
		// both.
		if (length != null && !eventStream && !HttpUtil.isTransferEncodingChunked(response)) {
			copy.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
		}
		else if (!method.equals(HttpMethod.HEAD) && !response.status().equals(HttpResponseStatus.NO_CONTENT)
				&& !response.status().equals(HttpResponseStatus.NOT_MODIFIED)) {
			HttpUtil.setTransferEncodingChunked(copy, true);
		}
		this.caller.sendHead(copy);
	}

	/**
	 * Forwards a part of the body. Of a stream, an incomplete event is buffered until its
	 * end arrives.
	 * @param content the bytes, not released
	 * @return {@code false} when the buffered event is too long, or contains another
	 * response
	 */
	boolean write(ByteBuf content) {
		if (!this.stream) {
			send(content.retain());
			return true;
		}
		int completeBytes = this.events.scan(content);
		if (completeBytes > 0) {
			sendPartialEvent();
			send(content.readRetainedSlice(completeBytes));
		}
		if (this.events.isInvalid()) {
			return false;
		}
		return !content.isReadable() || bufferPartialEvent(content);
	}

	/**
	 * Sends the buffered bytes after the last complete event. A response that has ended
	 * includes them.
	 */
	void sendPartialEvent() {
		ByteBuf partial = this.partialEvent;
		this.partialEvent = null;
		if (partial != null) {
			send(partial);
		}
	}

	/**
	 * Discards the buffered bytes of an incomplete event.
	 */
	void dropPartialEvent() {
		ByteBuf partial = this.partialEvent;
		this.partialEvent = null;
		if (partial != null) {
			partial.release();
		}
		this.events.dropPartialEvent();
	}

	private void send(ByteBuf content) {
		this.sentBytes += content.readableBytes();
		this.caller.sendContent(content);
	}

	private boolean bufferPartialEvent(ByteBuf content) {
		ByteBuf partial = this.partialEvent;
		if (partial == null) {
			partial = Unpooled.buffer(content.readableBytes());
			this.partialEvent = partial;
		}
		if (partial.readableBytes() + content.readableBytes() > MAX_EVENT_BYTES) {
			return false;
		}
		partial.writeBytes(content);
		return true;
	}

}
