package io.verbenacleat.agent.service;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.google.protobuf.ByteString;
import io.verbenacleat.agent.backend.BackendCalls;
import io.verbenacleat.agent.backend.BackendTarget;
import io.verbenacleat.agent.backend.CollectingSink;
import io.verbenacleat.agent.backend.FakeBackend;
import io.verbenacleat.agent.order.BackendOutcome;
import io.verbenacleat.agent.order.Cancellation;
import io.verbenacleat.agent.order.TestOrders;
import io.verbenacleat.proto.v1.HttpHeader;
import io.verbenacleat.proto.v1.HttpWork;
import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.RefusalReason;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

/**
 * Guards against calls that are sent twice, and against requests or responses that are
 * modified in transit.
 */
public class PlainServiceClientTests {

	@Test
	public void forwardsRequestAndResponse() throws IOException {
		try (FakeBackend service = new FakeBackend((exchange) -> {
			exchange.getResponseHeaders().set("X-Slot", "4");
			exchange.sendResponseHeaders(409, 0);
			exchange.getResponseBody().write("taken".getBytes(StandardCharsets.UTF_8));
		})) {
			CollectingSink sink = new CollectingSink();
			HttpWork work = TestOrders.http("PUT", "/bookings/a%20b?x=1")
				.addHeaders(header("Connection", "X-Hop"))
				.addHeaders(header("X-Hop", "1"))
				.addHeaders(header("Content-Type", "application/json"))
				.setBody(ByteString.copyFromUtf8("{}"))
				.build();
			BackendOutcome outcome = run(service.url(), work, false, sink);
			assertEquals(outcome.status(), ReceiptStatus.COMPLETE);
			assertEquals(outcome.billedTokens(), 7);
			assertEquals(sink.heads.get(0).getStatus(), 409);
			assertTrue(sink.heads.get(0).getHeadersList().contains(header("X-Slot", "4"))
					|| sink.heads.get(0).getHeadersList().contains(header("X-slot", "4")));
			assertEquals(sink.body.toStringUtf8(), "taken");
			FakeBackend.ReceivedRequest request = service.received().get(0);
			assertEquals(request.method() + " " + request.uri(), "PUT /bookings/a%20b?x=1");
			assertEquals(request.body(), "{}");
			assertEquals(request.headers().getFirst("Content-Type"), "application/json");
			assertEquals(request.headers().getFirst("Fencing-Token"), "3");
			assertNull(request.headers().getFirst("X-Hop"));
		}
	}

	@Test
	public void doesNotRetryAfterA503() throws IOException {
		try (FakeBackend service = new FakeBackend((exchange) -> {
			exchange.getResponseHeaders().set("Retry-After", "0");
			exchange.sendResponseHeaders(503, -1);
		})) {
			CollectingSink sink = new CollectingSink();
			run(service.url(), TestOrders.http("DELETE", "/bookings/1").build(), false, sink);
			assertEquals(service.received().size(), 1);
			assertEquals(sink.heads.get(0).getStatus(), 503);
			assertTrue(sink.heads.get(0).getHeadersList().contains(header("Retry-After", "0")));
		}
	}

	@Test
	public void reportsAnUnknownOutcomeAndSendsOnce() throws IOException {
		try (FakeBackend service = new FakeBackend((exchange) -> {
			throw new IOException("closes the connection without an answer");
		})) {
			BackendOutcome outcome = run(service.url(), TestOrders.http("POST", "/bookings").build(), false,
					new CollectingSink());
			assertNull(outcome.refusal());
			assertEquals(outcome.status(), ReceiptStatus.FAILED);
			assertEquals(outcome.failureCode(), "outcome_unknown");
			assertEquals(outcome.heldTokens(), 7);
			assertEquals(service.received().size(), 1);
		}
	}

	@Test
	public void refusesDotSegments() {
		BackendOutcome outcome = run("http://127.0.0.1:1", TestOrders.http("GET", "/a/%2E./b").build(), true,
				new CollectingSink());
		assertEquals(outcome.refusal(), RefusalReason.INVALID_ORDER);
	}

	private static HttpHeader header(String name, String value) {
		return HttpHeader.newBuilder().setName(name).setValue(value).build();
	}

	private static BackendOutcome run(String url, HttpWork work, boolean repeatable, CollectingSink sink) {
		try (BackendCalls calls = new BackendCalls()) {
			return new PlainServiceClient(calls, new BackendTarget(url, 3)).run(
					TestOrders.order("g", "a", 1).setRepeatable(repeatable).setHttp(work).build(), sink,
					new Cancellation());
		}
	}

}
