package io.verbenacleat.router.relay;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests which heads of responses the decoder and the check take for one head, without a
 * network.
 */
public class ResponseHeadCheckTests {

	@DataProvider
	public static Object[][] statusLines() {
		return new Object[][] { { "HTTP/1.1HTTP/1.1 500 Oops" }, { "HTTP/1.HTTP/1.1 200 OK" }, { "TP/1.1 200 OK" },
				{ "HTTP/2.0 200 OK" }, { "HTTP/1.1 1000 OK" }, { "HTTP/1.1 2000 OK" }, { "HTTP/1.1 20 OK" },
				{ "HTTP/1.1 0 OK" }, { "HTTP/1.1 000 OK" }, { "HTTP/1.1 001 OK" }, { "HTTP/1.1 099 OK" },
				{ "HTTP/1.1 0200 OK" }, { "HTTP/1.1 00200 OK" }, { "HTTP/1.1 600 OK" }, { "HTTP/1.1 999 OK" },
				{ "HTTP/1.1 +20 OK" }, { "HTTP/1.1 -20 OK" }, { "HTTP/1.1 2x0 OK" }, { "HTTP/1.1 20 0 OK" },
				{ "HTTP/1.1 \u0662\u0660\u0660 OK" }, { "HTTP/1.1" } };
	}

	// The decoder takes other versions and any number as a status, which callers cannot
	// read.
	@Test(dataProvider = "statusLines")
	public void aStatusLineOfAnotherFormIsInvalid(String line) {
		assertEquals(check(line), ResponseFault.INVALID_HEAD);
	}

	// Sound servers of an older version, or with a status of their own.
	@Test
	public void soundStatusLinesAreValid() {
		for (String line : new String[] { "HTTP/1.0 200 OK", "HTTP/1.1 100 Continue", "HTTP/1.1 599 Odd",
				"HTTP/1.1 200" }) {
			assertEquals(check(line), null, line);
		}
	}

	@Nullable
	private static ResponseFault check(String statusLine) {
		ServerResponseDecoder decoder = new ServerResponseDecoder();
		decoder.expectResponse(HttpMethod.POST, new SplicedBodyScanner("Test-Id", "1"));
		EmbeddedChannel channel = new EmbeddedChannel(decoder);
		channel.writeInbound(Unpooled.copiedBuffer(statusLine + "\r\nTest-Id: 1\r\nContent-Length: 0\r\n\r\n",
				StandardCharsets.ISO_8859_1));
		HttpResponse head = channel.readInbound();
		boolean decoded = head.decoderResult().isSuccess();
		ResponseFault fault = decoded ? ResponseHeadCheck.check(head, "Test-Id") : ResponseFault.INVALID_HEAD;
		ReferenceCountUtil.release(head);
		channel.finishAndReleaseAll();
		return fault;
	}

}
