package io.verbenacleat.core.daemon;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * Decodes requests, and marks those as failed whose body has no certain end (RFC 9112,
 * sections 6 and 7.1). Nothing that follows such a request on the connection is decoded,
 * since it may be a part of its body. Not thread safe; confined to the event loop of its
 * channel.
 */
public class StrictRequestDecoder extends HttpRequestDecoder {

	/** Checks the current body, {@code null} if it is not in chunks. */
	private @Nullable RequestChunkFraming framing;

	private boolean ended;

	/**
	 * Creates a decoder for one connection.
	 * @param maxLineBytes the maximum length of the first line in bytes
	 * @param maxHeaderBytes the maximum size of all headers in bytes
	 * @param maxChunkBytes the maximum size of a decoded part of the body in bytes
	 */
	public StrictRequestDecoder(int maxLineBytes, int maxHeaderBytes, int maxChunkBytes) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(maxLineBytes)
			.setMaxHeaderSize(maxHeaderBytes)
			.setMaxChunkSize(maxChunkBytes)
			.setHeadersFactory(new SingleLengthHeadersFactory()));
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		if (this.ended) {
			buffer.skipBytes(buffer.readableBytes());
			return;
		}
		int start = buffer.readerIndex();
		int decodedBefore = out.size();
		super.decode(context, buffer, out);
		RequestChunkFraming current = this.framing;
		if (current != null && !current.accept(buffer, start, buffer.readerIndex())) {
			removeFrom(decodedBefore, out);
			LastHttpContent invalid = new DefaultLastHttpContent();
			invalid.setDecoderResult(DecoderResult.failure(RequestFramingException.invalid("a chunk is not valid")));
			out.add(invalid);
			this.ended = true;
			return;
		}
		for (int i = decodedBefore; i < out.size(); i++) {
			Object message = out.get(i);
			if (message instanceof HttpRequest request && request.decoderResult().isSuccess()) {
				RequestFramingException fault = RequestFraming.check(request);
				if (fault != null) {
					request.setDecoderResult(DecoderResult.failure(fault));
					removeFrom(i + 1, out);
					this.ended = true;
					return;
				}
				this.framing = HttpUtil.isTransferEncodingChunked(request) ? new RequestChunkFraming() : null;
			}
			if (message instanceof LastHttpContent) {
				this.framing = null;
			}
		}
	}

	private static void removeFrom(int index, List<Object> out) {
		for (int i = out.size() - 1; i >= index; i--) {
			ReferenceCountUtil.release(out.remove(i));
		}
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		// The superclass would drop the length; decode() refuses the request.
	}

	/**
	 * Creates headers that reject a second length. The superclass would keep the first of
	 * several lengths of an HTTP/1.0 request.
	 */
	private static final class SingleLengthHeadersFactory implements HttpHeadersFactory {

		private static final DefaultHttpHeadersFactory DEFAULT = DefaultHttpHeadersFactory.headersFactory();

		@Override
		public HttpHeaders newHeaders() {
			return new SingleLengthHeaders();
		}

		@Override
		public HttpHeaders newEmptyHeaders() {
			return new SingleLengthHeaders();
		}

		private static final class SingleLengthHeaders extends DefaultHttpHeaders {

			private SingleLengthHeaders() {
				super(DEFAULT.getNameValidator(), DEFAULT.getValueValidator());
			}

			@Override
			public HttpHeaders add(CharSequence name, Object value) {
				if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)
						&& contains(HttpHeaderNames.CONTENT_LENGTH)) {
					throw new IllegalArgumentException("Content-Length is repeated");
				}
				return super.add(name, value);
			}

		}

	}

}
