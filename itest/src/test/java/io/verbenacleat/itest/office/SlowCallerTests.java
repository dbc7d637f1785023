package io.verbenacleat.itest.office;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;

import io.verbenacleat.core.journal.JournalReceipt;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a caller that stops reading its answer but keeps its reservation, and
 * against billing a caller for a request that it did not send completely.
 */
public class SlowCallerTests {

	/** Makes the answer larger than the kernel's socket buffers of one connection. */
	private static final String WORD = "w".repeat(2_000);

	private static final int ANSWER_TOKENS = 4_000;

	@Test
	public void stalledRequestIsCancelledAndBilledForGeneratedTokens() throws Exception {
		try (OfficeFixture office = OfficeFixture.start(1, 1, 0, 1_000_000);
				Socket incomplete = connect(office);
				Socket stalled = connect(office)) {
			String body = Caller.chatBody(WORD, ANSWER_TOKENS, ANSWER_TOKENS);
			post(incomplete, office.key, body, body.length() + 100);
			post(stalled, office.key, body, body.length());
			OfficeFixture.await("the answer starts", () -> !office.engines.get(0).records().isEmpty());
			assertTrue(office.caller.chat(office.url(0), office.key, Caller.chatBody("other", 50, 50)).isDone());
			OfficeFixture.await("the stalled request is billed", () -> receipts(office).size() == 2);
			JournalReceipt bill = receipts(office).stream()
				.filter((receipt) -> receipt.status().equals("CANCELLED"))
				.findFirst()
				.orElseThrow();
			System.out.println("slow caller: " + bill);
			assertTrue(bill.billedTokens() < ANSWER_TOKENS + WORD.length(), bill.toString());
			assertEquals(bill.heldTokens(), 0);
			assertEquals(office.engines.get(0).records().size(), 2);
			assertEquals(incomplete.getInputStream().read(), -1);
		}
	}

	private static Socket connect(OfficeFixture office) throws Exception {
		Socket socket = new Socket();
		socket.setReceiveBufferSize(4 * 1024);
		socket.setSoTimeout(20_000);
		socket.connect(new InetSocketAddress("127.0.0.1", URI.create(office.url(0)).getPort()));
		return socket;
	}

	private static void post(Socket socket, String key, String body, int length) throws Exception {
		String request = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key
				+ "\r\nContent-Type: application/json\r\nContent-Length: " + length + "\r\n\r\n" + body;
		socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
		socket.getOutputStream().flush();
	}

	private static List<JournalReceipt> receipts(OfficeFixture office) {
		try {
			return new OfficeAudit(office).receipts();
		}
		catch (Exception ex) {
			throw new AssertionError(ex);
		}
	}

}
