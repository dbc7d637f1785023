package io.verbenacleat.agent.engine;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;

import io.verbenacleat.agent.backend.BackendCalls;
import io.verbenacleat.agent.backend.BackendTarget;
import io.verbenacleat.agent.backend.CollectingSink;
import io.verbenacleat.agent.backend.FakeBackend;
import io.verbenacleat.agent.order.BackendOutcome;
import io.verbenacleat.agent.order.Cancellation;
import io.verbenacleat.agent.order.TestOrders;
import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.RefusalReason;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

/**
 * Guards against tokens that are not billed, streams that run past the reservation, and
 * failures that are taken for whole answers or for orders that were not run.
 */
public class ChatEngineClientTests {

	private static final String USAGE = "{\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":9}}";

	private final CollectingSink sink = new CollectingSink();

	@Test
	public void passesAWholeStreamOnUnchanged() throws IOException {
		String first = FakeBackend.chunk("a");
		try (FakeBackend engine = new FakeBackend(
				(exchange) -> FakeBackend.writeEvents(exchange, first, USAGE, "[DONE]"))) {
			CollectingSink collected = new CollectingSink();
			BackendOutcome outcome = run(engine.url(), 10, collected);
			assertEquals(outcome.status(), ReceiptStatus.COMPLETE);
			assertEquals(collected.chunks, List.of(first, USAGE));
			assertEquals(outcome.answerTokens(), 9);
			assertEquals(outcome.billedTokens(), 14);
			FakeBackend.ReceivedRequest request = engine.received().get(0);
			assertEquals(request.uri(), "/v1/chat/completions");
			assertEquals(request.headers().getFirst("Fencing-Token"), "3");
			assertEquals(request.headers().getFirst("Verbena-Request-Id"), "req-g-1");
			assertEquals(request.body(), "{\"model\":\"small\",\"messages\":[],\"max_tokens\":10,\"stream\":true,"
					+ "\"stream_options\":{\"include_usage\":true},\"priority\":3}");
		}
	}

	@Test
	public void cutsAnEngineThatIgnoresTheBound() throws IOException {
		try (FakeBackend engine = new FakeBackend((exchange) -> {
			while (true) {
				FakeBackend.writeEvents(exchange, FakeBackend.chunk("more"));
			}
		})) {
			CollectingSink collected = new CollectingSink();
			BackendOutcome outcome = run(engine.url(), 4, collected);
			assertEquals(outcome.status(), ReceiptStatus.CUT);
			assertEquals(collected.chunks.size(), 4);
			assertEquals(outcome.answerTokens(), 5);
			assertEquals(outcome.billedTokens(), 105);
		}
	}

	@Test
	public void cutsAPromptOverItsBound() throws IOException {
		String usage = "{\"choices\":[],\"usage\":{\"prompt_tokens\":2000,\"completion_tokens\":0}}";
		try (FakeBackend engine = new FakeBackend((exchange) -> FakeBackend.writeEvents(exchange, usage, "[DONE]"))) {
			BackendOutcome outcome = run(engine.url(), 10, this.sink);
			assertEquals(outcome.status(), ReceiptStatus.CUT);
			assertEquals(outcome.billedTokens(), 1_000);
		}
	}

	@Test
	public void billsWhatWasCountedOfABrokenStream() throws IOException {
		try (FakeBackend engine = new FakeBackend(
				(exchange) -> FakeBackend.writeEvents(exchange, FakeBackend.chunk("a"), FakeBackend.chunk("b")))) {
			BackendOutcome outcome = run(engine.url(), 10, this.sink);
			assertEquals(outcome.status(), ReceiptStatus.FAILED);
			assertNull(outcome.refusal());
			assertEquals(outcome.answerTokens(), 2);
			assertEquals(outcome.billedTokens(), 102);
		}
	}

	@Test
	public void billsNothingForAnErrorStatus() throws IOException {
		try (FakeBackend engine = new FakeBackend((exchange) -> exchange.sendResponseHeaders(500, -1))) {
			BackendOutcome outcome = run(engine.url(), 10, this.sink);
			assertEquals(outcome.status(), ReceiptStatus.FAILED);
			assertEquals(outcome.billedTokens(), 0);
			assertTrue(outcome.failureDetail().contains("ran nothing"), outcome.failureDetail());
		}
	}

	@Test
	public void reportsARefusedConnectionAsNotRun() throws IOException {
		int port;
		try (ServerSocket socket = new ServerSocket(0)) {
			port = socket.getLocalPort();
		}
		CollectingSink collected = new CollectingSink();
		BackendOutcome outcome = run("http://127.0.0.1:" + port, 10, collected);
		assertEquals(outcome.refusal(), RefusalReason.BACKEND_UNREACHABLE);
		assertEquals(collected.starts, 0);
	}

	// Guards against a bill for a prompt that the engine never received.
	@Test
	public void reportsAnOrderThatWasCancelledBeforeItWasSentAsNotRun() throws IOException {
		try (FakeBackend engine = new FakeBackend((exchange) -> FakeBackend.writeEvents(exchange, "[DONE]"))) {
			Cancellation cancellation = new Cancellation();
			CollectingSink collected = new CollectingSink();
			collected.onStart = cancellation::cancel;
			BackendOutcome outcome = run(engine.url(), 10, collected, cancellation);
			assertEquals(collected.starts, 1);
			assertEquals(outcome.refusal(), RefusalReason.TOMBSTONED);
			assertEquals(engine.received().size(), 0);
		}
	}

	private static BackendOutcome run(String url, long answerBoundTokens, CollectingSink collected) {
		return run(url, answerBoundTokens, collected, new Cancellation());
	}

	private static BackendOutcome run(String url, long answerBoundTokens, CollectingSink collected,
			Cancellation cancellation) {
		ExecuteRequest order = TestOrders.order("g", "a", 1)
			.setPriority(3)
			.setChat(TestOrders.chat(answerBoundTokens))
			.build();
		try (BackendCalls calls = new BackendCalls()) {
			return new ChatEngineClient(calls, new BackendTarget(url, 3)).run(order, collected, cancellation);
		}
	}

}
