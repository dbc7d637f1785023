package io.verbenacleat.core.daemon;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

public class RequestSequencerTests {

	private static final String INNER = "POST /inner HTTP/1.1\r\nContent-Length: 0\r\n\r\n";

	@DataProvider
	public Object[][] uncertainEnds() {
		return new Object[][] { { "HTTP/1.1", "Transfer-Encoding: gzip" },
				{ "HTTP/1.1", "Transfer-Encoding: xchunked" }, { "HTTP/1.1", "Transfer-Encoding: gzip, chunked" },
				{ "HTTP/1.1", "Transfer-Encoding: " }, { "HTTP/1.1", "Content-Length: 0\r\nTransfer-Encoding: gzip" },
				{ "HTTP/1.0", "Transfer-Encoding: chunked" }, { "HTTP/1.1", "Content-Length: +5" } };
	}

	// Guards against a body that is run as a request of its own, because the end of the
	// request before is not known.
	@Test(dataProvider = "uncertainEnds")
	public void nothingIsForwardedAfterAnUncertainEnd(String version, String framing) {
		EmbeddedChannel channel = new EmbeddedChannel(new HttpServerCodec(), new RequestSequencer());
		channel.writeInbound(Unpooled.copiedBuffer("POST /outer " + version + "\r\n" + framing + "\r\n\r\n" + INNER,
				StandardCharsets.ISO_8859_1));
		assertEquals(nextRequest(channel), RequestSequencer.UNREADABLE_PATH);
		channel.writeOutbound(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_REQUEST));
		channel.writeInbound(Unpooled.copiedBuffer(INNER, StandardCharsets.ISO_8859_1));
		assertNull(nextRequest(channel));
		channel.finishAndReleaseAll();
	}

	private static @Nullable String nextRequest(EmbeddedChannel channel) {
		Object message = channel.readInbound();
		while (message != null && !(message instanceof HttpRequest)) {
			ReferenceCountUtil.release(message);
			message = channel.readInbound();
		}
		return (message instanceof HttpRequest request) ? request.uri() : null;
	}

}
