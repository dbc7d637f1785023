package io.verbenacleat.router.relay;

import java.util.List;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the responses on a connection to a backend server, one request at a time, and
 * tells bytes that belong to no request from those of a response. Not thread safe;
 * confined to the event loop of its channel.
 * <p>
 * Bytes that arrive while no request is in progress are not decoded, since the decoder
 * would keep an incomplete line and prepend it to the next response. They are reported as
 * an {@link UnexpectedBytes} event.
 */
final class ServerResponseDecoder extends HttpResponseDecoder {

	/** RFC 9110, section 15. */
	private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

	private static final int MAX_LINE_BYTES = 8_192;

	private static final int MAX_HEADER_BYTES = 65_536;

	private static final int MAX_CHUNK_BYTES = 65_536;

	private HttpMethod method = HttpMethod.GET;

	private boolean expecting;

	private SplicedBodyScanner scanner = new SplicedBodyScanner("", "");

	/** Checks the current body, {@code null} if it is not in chunks. */
	private @Nullable ChunkFraming framing;

	/** The bytes since the last request. */
	private long receivedBytes;

	ServerResponseDecoder() {
		super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
	}

	/**
	 * Expects the response to a request that is about to be written.
	 * @param requestMethod the method, which decides whether the response has a body
	 * @param requestScanner scans the bytes of the response
	 */
	void expectResponse(HttpMethod requestMethod, SplicedBodyScanner requestScanner) {
		this.method = requestMethod;
		this.scanner = requestScanner;
		this.receivedBytes = 0;
		this.framing = null;
		this.expecting = true;
	}

	/**
	 * Expects no more bytes until the next request.
	 */
	void endResponse() {
		this.expecting = false;
	}

	/**
	 * Returns the number of bytes since the last request that were decoded.
	 * @return the number of bytes, without those that wait to be decoded
	 */
	long decodedBytes() {
		return this.receivedBytes - actualReadableBytes();
	}

	/**
	 * Returns whether bytes wait to be decoded.
	 * @return {@code false} if all received bytes were decoded
	 */
	boolean hasRemainingBytes() {
		return actualReadableBytes() > 0;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		if (!this.expecting && message instanceof ByteBuf bytes) {
			int count = bytes.readableBytes();
			ReferenceCountUtil.release(message);
			context.fireUserEventTriggered(new UnexpectedBytes(count));
			return;
		}
		if (message instanceof ByteBuf bytes) {
			this.receivedBytes += bytes.readableBytes();
			this.scanner.scan(bytes);
		}
		super.channelRead(context, message);
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		int start = buffer.readerIndex();
		int decodedBefore = out.size();
		super.decode(context, buffer, out);
		List<Object> decoded = List.copyOf(out.subList(decodedBefore, out.size()));
		ChunkFraming current = this.framing;
		if (current != null && !current.accept(buffer, start, buffer.readerIndex())) {
			this.framing = null;
			LastHttpContent invalid = new DefaultLastHttpContent();
			invalid.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("Chunk exceeds its size")));
			out.add(invalid);
		}
		for (Object message : decoded) {
			if (message instanceof HttpResponse response) {
				this.framing = HttpUtil.isTransferEncodingChunked(response) ? new ChunkFraming() : null;
			}
			if (message instanceof LastHttpContent) {
				this.framing = null;
			}
		}
	}

	// The superclass parses the status as any number, so that 0200 becomes 200.
	@Override
	protected HttpMessage createMessage(String[] initialLine) {
		if (!STATUS.matcher(initialLine[1]).matches()) {
			throw new IllegalArgumentException("The status is not a code from 100 to 599");
		}
		return super.createMessage(initialLine);
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		if (message instanceof HttpResponse response
				&& response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
			boolean tunnel = this.method.equals(HttpMethod.CONNECT)
					&& response.status().codeClass() == HttpStatusClass.SUCCESS;
			if (tunnel || this.method.equals(HttpMethod.HEAD)) {
				return true;
			}
		}
		return super.isContentAlwaysEmpty(message);
	}

	/**
	 * Bytes that arrived while no request was in progress. Immutable.
	 *
	 * @param count the number of bytes
	 */
	record UnexpectedBytes(int count) {
	}

}
