package io.verbenacleat.entry.request;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import io.verbenacleat.core.platform.PlatformUnavailableException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WriteOutcome;
import io.verbenacleat.proto.v1.ExecuteEvent;
import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.Finished;
import io.verbenacleat.proto.v1.HttpHead;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.RefusalReason;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests of requests that may not be repeated. Guards against a second run with the same
 * idempotency key after lost store responses, broken streams, lost agents, disconnected
 * callers and concurrent repeats, and against a refusal as not run of a request that was
 * run.
 */
public class BookingRunTests {

	private RunnerFixture fixture;

	public BookingRunTests() throws IOException {
		this.fixture = new RunnerFixture();
	}

	@AfterMethod
	public void reopen() throws IOException {
		this.fixture.close();
		this.fixture = new RunnerFixture();
	}

	@AfterClass
	public void close() {
		this.fixture.close();
	}

	private String run(CallerRequest request) throws Exception {
		return this.fixture.run(request).end();
	}

	private String runAtOtherGateway(CallerRequest request) throws Exception {
		return run(this.fixture.runner("gateway-2"), request);
	}

	private static String run(RequestRunner runner, CallerRequest request) throws Exception {
		RecordingListener listener = new RecordingListener();
		runner.run(request, listener);
		return listener.end();
	}

	@Test
	public void repeatIsReplayedAndNotRun() throws Exception {
		RecordingListener listener = this.fixture.run(this.fixture.booking("key"));
		assertEquals(listener.end(), "finished");
		assertEquals(listener.events, List.of("accepted", "head 201", "booked", "finished"));
		assertEquals(runAtOtherGateway(this.fixture.booking("key")), "replayed 201 booked");
		assertEquals(this.fixture.booking.executed, List.of("req-1"));
		assertEquals(this.fixture.budget.released.poll(20, TimeUnit.SECONDS), "req-2");
	}

	@Test
	public void differentRequestWithSameKeyIsRefused() throws Exception {
		run(this.fixture.booking("key"));
		assertEquals(runAtOtherGateway(this.fixture.booking("key", "other")), "idempotency_key_reused not-run");
	}

	@Test
	public void requestIsNotRunWhileStoreIsUnavailable() throws Exception {
		this.fixture.tables.setAvailable(false);
		RecordingListener listener = this.fixture.run(this.fixture.booking("key"));
		assertEquals(listener.end(), "claim_store_unreachable not-run");
		assertTrue(listener.refusal().retryAfterMs() > 0);
		assertTrue(this.fixture.booking.received.isEmpty());
		assertEquals(this.fixture.budget.released.poll(20, TimeUnit.SECONDS), "req-1");
	}

	@Test
	public void claimIsReadBackWhenItsWriteResponseIsLost() throws Exception {
		this.fixture.tables.loseNextAnswers(1);
		assertEquals(run(this.fixture.booking("key")), "finished");
		assertEquals(this.fixture.booking.executed, List.of("req-1"));
	}

	@Test
	public void claimWithUnknownOutcomeIsNotRunAndDoesNotBlockRepeats() throws Exception {
		RequestRunner runner = this.fixture.runner("gateway-1", new OutageAfterWrite(true));
		assertEquals(run(runner, this.fixture.booking("key")), "claim_store_unreachable not-run");
		assertTrue(this.fixture.booking.received.isEmpty());
		assertEquals(run(runner, this.fixture.inquiry()), "finished");
		assertEquals(runAtOtherGateway(this.fixture.booking("key")), "finished");
		assertEquals(this.fixture.booking.executed, List.of("req-2", "req-3"));
	}

	@Test
	public void outcomeIsReplayedFromAgentWhenStoreNeverRecordedIt() throws Exception {
		RequestRunner runner = this.fixture.runner("gateway-1", new OutageAfterWrite(false));
		assertEquals(run(runner, this.fixture.booking("key")), "finished");
		assertEquals(run(runner, this.fixture.inquiry()), "finished");
		assertEquals(runAtOtherGateway(this.fixture.booking("key")), "replayed 201 booked");
		assertEquals(this.fixture.booking.executed, List.of("req-1", "req-2"));
	}

	@Test
	public void failedResponseIsNeverReplayed() throws Exception {
		FakeAgent agent = this.fixture.booking;
		agent.script = (request, events) -> {
			agent.startOrder(request);
			Receipt failed = FakeAgent.receipt(request).toBuilder().setStatus(ReceiptStatus.FAILED).build();
			agent.statuses.put(request.getOrderId(), FakeAgent.ended(request).toBuilder().setReceipt(failed).build());
			events.onNext(FakeAgent.accepted());
			events.onNext(FakeAgent.event(1).setHttpHead(HttpHead.newBuilder().setStatus(200)).build());
			events.onNext(FakeAgent.event(2)
				.setFinished(Finished.newBuilder().setPartCount(2).setReceipt(failed).setFailureCode("reset"))
				.build());
			events.onCompleted();
		};
		assertEquals(run(this.fixture.booking("key")), "backend_failed unknown");
		assertEquals(runAtOtherGateway(this.fixture.booking("key")), "outcome_unknown unknown");
		assertEquals(agent.executed.size(), 1);
	}

	@Test
	public void refusedOrderIsNotSentToAnotherAgentAndMayBeRepeated() throws Exception {
		FakeAgent agent = this.fixture.booking;
		agent.script = (request, events) -> FakeAgent.refuse(events, RefusalReason.OVERLOADED);
		assertEquals(run(this.fixture.booking("key")), "no_backend_server not-run");
		assertEquals(agent.received.size(), 1);
		agent.script = agent::runToCompletion;
		assertEquals(runAtOtherGateway(this.fixture.booking("key")), "finished");
		assertEquals(agent.executed, List.of("req-2"));
	}

	@Test
	public void repeatOfRunningOrderIsRefusedAsInProgress() throws Exception {
		CompletableFuture<StreamObserver<ExecuteEvent>> stream = holdStreamOpen();
		RecordingListener listener = this.fixture.run(this.fixture.booking("key"));
		stream.get(20, TimeUnit.SECONDS);
		assertEquals(runAtOtherGateway(this.fixture.booking("key")), "request_in_progress unknown");
		finish(stream.join());
		assertEquals(listener.end(), "finished");
	}

	@Test
	public void callerDisconnectAndDeadlineDoNotStopOrder() throws Exception {
		CompletableFuture<StreamObserver<ExecuteEvent>> stream = holdStreamOpen();
		RecordingListener listener = new RecordingListener();
		RequestRunner.RunningRequest running = this.fixture.runner("gateway-1")
			.run(this.fixture.booking("key"), listener);
		stream.get(20, TimeUnit.SECONDS);
		running.callerGone();
		this.fixture.control.expireDeadlines();
		finish(stream.join());
		assertEquals(this.fixture.budget.settled.poll(20, TimeUnit.SECONDS).getRequestId(), "req-1");
		assertEquals(listener.endCount.get(), 0);
		assertEquals(runAtOtherGateway(this.fixture.booking("key")), "replayed 201 booked");
	}

	@Test
	public void brokenStreamIsUnknownAndItsOutcomeIsReplayedLater() throws Exception {
		FakeAgent agent = this.fixture.booking;
		agent.resolveAvailable = false;
		agent.script = (request, events) -> {
			agent.startOrder(request);
			agent.finishOrder(request);
			events.onError(Status.INTERNAL.asRuntimeException());
		};
		assertEquals(run(this.fixture.booking("key")), "order_lost unknown");
		agent.resolveAvailable = true;
		assertEquals(runAtOtherGateway(this.fixture.booking("key")), "replayed 201 booked");
		assertEquals(agent.executed, List.of("req-1"));
	}

	@Test
	public void repeatAfterAgentLossIsUnknown() throws Exception {
		FakeAgent agent = this.fixture.booking;
		agent.resolveAvailable = false;
		agent.script = (request, events) -> events.onError(Status.UNAVAILABLE.asRuntimeException());
		this.fixture.agentsLost = true;
		assertEquals(run(this.fixture.booking("key")), "order_lost unknown");
		assertEquals(this.fixture.budget.settled.poll(20, TimeUnit.SECONDS).getHeldTokens(), 10);
		assertEquals(runAtOtherGateway(this.fixture.booking("key")), "outcome_unknown unknown");
		assertEquals(agent.received.size(), 1);
	}

	@Test
	public void largeResponseIsNotStored() throws Exception {
		FakeAgent agent = this.fixture.booking;
		agent.script = (request, events) -> {
			agent.startOrder(request);
			agent.statuses.put(request.getOrderId(), FakeAgent.ended(request).toBuilder().clearHttpHead().build());
			events.onNext(FakeAgent.accepted());
			events.onNext(FakeAgent.event(1).setHttpHead(HttpHead.newBuilder().setStatus(200)).build());
			events.onNext(FakeAgent.event(2).setHttpBody(ByteString.copyFrom(new byte[64 * 1024])).build());
			events.onNext(FakeAgent.event(3).setHttpBody(ByteString.copyFrom(new byte[1])).build());
			events.onNext(FakeAgent.finished(request, 4, 4));
			events.onCompleted();
		};
		assertEquals(run(this.fixture.booking("key")), "finished");
		assertEquals(runAtOtherGateway(this.fixture.booking("key")), "outcome_unknown unknown");
		assertEquals(agent.executed.size(), 1);
	}

	@Test
	public void concurrentRepeatsRunAtMostOnceWhenStoreResponsesAreLost() throws Exception {
		List<String> executed = this.fixture.booking.executed;
		TableStore store = new LossyTableStore(this.fixture.tables, 11);
		List<RequestRunner> runners = List.of(this.fixture.runner("gateway-1", store),
				this.fixture.runner("gateway-2", store));
		for (int i = 0; i < 30; i++) {
			int before = executed.size();
			List<CallerRequest> requests = new ArrayList<>();
			List<RecordingListener> listeners = new ArrayList<>();
			for (int copy = 0; copy < 6; copy++) {
				requests.add(this.fixture.booking("key-" + i));
				listeners.add(new RecordingListener());
			}
			for (int copy = 0; copy < 6; copy++) {
				runners.get(copy % 2).run(requests.get(copy), listeners.get(copy));
			}
			for (int copy = 0; copy < 6; copy++) {
				String end = listeners.get(copy).end();
				String requestId = requests.get(copy).requestId();
				assertEquals(executed.contains(requestId) && end.endsWith("not-run"), false, end);
				assertNotEquals(end, "timeout unknown");
			}
			assertTrue(executed.size() <= before + 1, "Key " + i + " ran " + (executed.size() - before) + " times");
			assertTrue(repeatUntilAnswered(runners, "key-" + i).matches("finished|replayed 201 booked"));
			assertEquals(executed.size(), before + 1, "Key " + i);
		}
	}

	private String repeatUntilAnswered(List<RequestRunner> runners, String key) throws Exception {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
		String end = "";
		for (int i = 0; System.nanoTime() < deadlineNanos; i++) {
			end = run(runners.get(i % 2), this.fixture.booking(key));
			if (!end.startsWith("request_in_progress") && !end.endsWith("not-run")) {
				return end;
			}
		}
		return end;
	}

	private CompletableFuture<StreamObserver<ExecuteEvent>> holdStreamOpen() {
		CompletableFuture<StreamObserver<ExecuteEvent>> stream = new CompletableFuture<>();
		this.fixture.booking.script = (request, events) -> {
			this.fixture.booking.startOrder(request);
			stream.complete(events);
		};
		return stream;
	}

	private void finish(StreamObserver<ExecuteEvent> events) {
		ExecuteRequest request = this.fixture.booking.received.get(0);
		this.fixture.booking.statuses.remove(request.getOrderId());
		this.fixture.booking.executed.remove(request.getRequestId());
		this.fixture.booking.runToCompletion(request, events);
	}

	/**
	 * A table store that becomes unavailable after the first write, whose response may be
	 * lost.
	 */
	private final class OutageAfterWrite implements TableStore {

		private final TableStore tables = BookingRunTests.this.fixture.tables;

		private final PlatformUnavailableException failure = new PlatformUnavailableException("Store unavailable",
				null);

		private final boolean losesResponse;

		private volatile boolean unavailable;

		private OutageAfterWrite(boolean losesResponse) {
			this.losesResponse = losesResponse;
		}

		@Override
		public CompletableFuture<List<Row>> read(List<String> keys) {
			return (this.unavailable) ? CompletableFuture.failedFuture(this.failure) : this.tables.read(keys);
		}

		@Override
		public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
			return this.tables.scan(prefix, after, limit);
		}

		@Override
		public CompletableFuture<WriteOutcome> transact(Transaction transaction) {
			if (this.unavailable) {
				return CompletableFuture.completedFuture(new WriteOutcome.NotApplied(this.failure));
			}
			this.unavailable = true;
			CompletableFuture<WriteOutcome> outcome = this.tables.transact(transaction);
			return (this.losesResponse) ? CompletableFuture.completedFuture(new WriteOutcome.Unknown(this.failure))
					: outcome;
		}

	}

}
