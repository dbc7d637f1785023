package io.verbenacleat.entry.request;

import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.verbenacleat.core.config.LimitsConfig;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.entry.EntryStateKeys;
import io.verbenacleat.proto.v1.OrderState;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.RefusalReason;
import io.verbenacleat.proto.v1.ReserveRefusal;
import io.verbenacleat.proto.v1.ReserveResponse;
import io.verbenacleat.proto.v1.ResolveOrderResponse;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of repeatable requests. Guards against a normal end of an incomplete response, a
 * wrong outcome in a refusal, and a reservation with no receipt and no release or with
 * more than one.
 */
public class ChatRunTests {

	private RunnerFixture fixture;

	public ChatRunTests() throws IOException {
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

	private Receipt settled() throws InterruptedException {
		return this.fixture.budget.settled.poll(20, TimeUnit.SECONDS);
	}

	private String released() throws InterruptedException {
		return this.fixture.budget.released.poll(20, TimeUnit.SECONDS);
	}

	@Test
	public void completeResponseEndsAfterItsReceiptIsSettled() throws Exception {
		RecordingListener listener = this.fixture.run(this.fixture.chat());
		assertEquals(listener.end(), "finished");
		assertEquals(listener.events, List.of("accepted", "a", "b", "finished"));
		assertEquals(settled().getRequestId(), "req-1");
		assertTrue(this.fixture.budget.released.isEmpty());
	}

	@Test
	public void responseWithUnacknowledgedReceiptNeverEndsNormally() throws Exception {
		this.fixture.budget.acknowledges = false;
		RecordingListener listener = this.fixture.run(this.fixture.chat());
		assertEquals(listener.end(), "answer_incomplete unknown");
		assertEquals(settled().getRequestId(), "req-1");
	}

	@DataProvider
	public Object[][] reserveRefusals() {
		return new Object[][] { { ReserveRefusal.UNKNOWN_ACCOUNT, "invalid_api_key", 0L },
				{ ReserveRefusal.UNKNOWN_KEY, "invalid_api_key", 0L },
				{ ReserveRefusal.REVOKED_KEY, "revoked_api_key", 0L },
				{ ReserveRefusal.QUOTA_EXHAUSTED, "insufficient_quota", 0L },
				{ ReserveRefusal.BUDGET_RESERVED, "budget_reserved", 700L },
				{ ReserveRefusal.TABLE_UNREACHABLE, "budget_unreachable", 700L },
				{ ReserveRefusal.HOLDER_NOT_OPEN, "budget_unreachable", 700L },
				{ ReserveRefusal.JOURNAL_FULL, "journal_full", 700L } };
	}

	@Test(dataProvider = "reserveRefusals")
	public void refusedReservationIsNotRun(ReserveRefusal refusal, String code, long retryAfterMs) throws Exception {
		this.fixture.budget.response = ReserveResponse.newBuilder().setRefusal(refusal).setRetryAfterMs(700).build();
		RecordingListener listener = this.fixture.run(this.fixture.chat());
		assertEquals(listener.end(), code + " not-run");
		assertEquals(listener.refusal().retryAfterMs(), retryAfterMs);
		assertTrue(this.fixture.first.received.isEmpty());
	}

	@Test
	public void refusedOrderIsRetriedAtAnotherAgent() throws Exception {
		this.fixture.first.script = (request, events) -> FakeAgent.refuse(events, RefusalReason.DRAINING);
		assertEquals(this.fixture.run(this.fixture.chat()).end(), "finished");
		assertEquals(this.fixture.second.executed, List.of("req-1"));
		assertEquals(this.fixture.metric("verbena_retries_total{reason=\"draining\"}"), "1.0");
		assertEquals(this.fixture.metric("verbena_orders_total{result=\"finished\"}"), "1.0");
	}

	@Test
	public void requestRefusedByAllAgentsIsNotRunAndReleased() throws Exception {
		this.fixture.first.script = (request, events) -> FakeAgent.refuse(events, RefusalReason.OVERLOADED);
		this.fixture.second.script = this.fixture.first.script;
		assertEquals(this.fixture.run(this.fixture.chat()).end(), "no_backend_server not-run");
		assertEquals(released(), "req-1");
		assertTrue(this.fixture.budget.settled.isEmpty());
	}

	// Guards against a refusal that does not release its reservation, and against
	// counting a request that has ended.
	@Test
	public void requestOverAccountLimitIsNotRunAndReleased() throws Exception {
		OfficeConfig config = Objects.requireNonNull(this.fixture.blackboard.read(EntryStateKeys.CONFIG));
		LimitsConfig limits = new LimitsConfig(1_024, 60_000, 8, 1_000, 0, 2_000, 1, List.of());
		this.fixture.blackboard.write(EntryStateKeys.CONFIG, new OfficeConfig(2, config.office(), config.region(),
				config.models(), config.services(), config.servers(), limits, config.budget()));
		RequestRunner runner = this.fixture.runner("gateway-1");
		assertEquals(run(runner).end(), "finished");
		assertEquals(run(runner).end(), "finished");
		CountDownLatch open = new CountDownLatch(1);
		this.fixture.first.script = (request, events) -> open.countDown();
		RequestRunner.RunningRequest running = runner.run(this.fixture.chat(), new RecordingListener());
		assertTrue(open.await(10, TimeUnit.SECONDS));
		assertEquals(run(runner).end(), "account_overloaded not-run");
		assertEquals(released(), "req-4");
		running.callerGone();
	}

	private RecordingListener run(RequestRunner runner) {
		RecordingListener listener = new RecordingListener();
		runner.run(this.fixture.chat(), listener);
		return listener;
	}

	@Test
	public void closedHolderIsNotRetried() throws Exception {
		this.fixture.first.script = (request, events) -> FakeAgent.refuse(events, RefusalReason.HOLDER_CLOSED);
		assertEquals(this.fixture.run(this.fixture.chat()).end(), "budget_unreachable not-run");
		assertTrue(this.fixture.second.received.isEmpty());
	}

	@Test
	public void unreachableAgentIsReplacedByAnother() throws Exception {
		this.fixture.first.close();
		assertEquals(this.fixture.run(this.fixture.chat()).end(), "finished");
		assertEquals(this.fixture.second.executed, List.of("req-1"));
	}

	@Test
	public void brokenStreamIsUnknownAndSettledLater() throws Exception {
		FakeAgent agent = this.fixture.first;
		agent.resolveAvailable = false;
		agent.script = (request, events) -> {
			agent.startOrder(request);
			events.onNext(FakeAgent.accepted());
			events.onNext(FakeAgent.chunk(1, "a"));
			events.onError(Status.INTERNAL.asRuntimeException());
		};
		RecordingListener listener = this.fixture.run(this.fixture.chat());
		assertEquals(listener.end(), "answer_incomplete unknown");
		assertTrue(this.fixture.budget.settled.isEmpty());
		agent.finishOrder(agent.received.get(0));
		agent.resolveAvailable = true;
		assertEquals(settled().getRequestId(), "req-1");
		assertTrue(this.fixture.budget.released.isEmpty());
		assertTrue(this.fixture.second.received.isEmpty());
	}

	@Test
	public void orderWithoutResponseIsUnknownAndReleasedOnceReportedNeverStarted() throws Exception {
		FakeAgent agent = this.fixture.first;
		agent.resolveAvailable = false;
		agent.script = (request, events) -> events.onError(Status.INTERNAL.asRuntimeException());
		RecordingListener listener = this.fixture.run(this.fixture.chat());
		assertEquals(listener.end(), "order_lost unknown");
		assertEquals(this.fixture.metric("verbena_orders_resolving"), "1.0");
		agent.resolveAvailable = true;
		assertEquals(released(), "req-1");
		assertEquals(this.fixture.metric("verbena_orders_resolving"), "0.0");
		assertEquals(this.fixture.metric("verbena_refusals_total{code=\"order_lost\"}"), "1.0");
		assertTrue(this.fixture.second.received.isEmpty());
	}

	@Test
	public void orderOfLostAgentIsBilledForDeliveredTokensAndRestIsHeld() throws Exception {
		FakeAgent agent = this.fixture.first;
		this.fixture.agentsLost = true;
		agent.resolveAvailable = false;
		agent.script = (request, events) -> {
			events.onNext(FakeAgent.accepted());
			events.onNext(FakeAgent.chunk(1, "a"));
			events.onError(Status.UNAVAILABLE.asRuntimeException());
		};
		RecordingListener listener = this.fixture.run(this.fixture.chat());
		assertEquals(listener.end(), "answer_incomplete unknown");
		Receipt receipt = settled();
		assertEquals(receipt.getStatus(), ReceiptStatus.TAKEN_OVER);
		assertEquals(receipt.getBilledTokens(), 1);
		assertEquals(receipt.getHeldTokens(), 99);
	}

	@Test
	public void tombstonedOrderIsRetriedAtAnotherAgent() throws Exception {
		this.fixture.first.script = (request, events) -> events.onError(Status.INTERNAL.asRuntimeException());
		assertEquals(this.fixture.run(this.fixture.chat()).end(), "finished");
		assertEquals(this.fixture.second.executed, List.of("req-1"));
	}

	@DataProvider
	public Object[][] wrongParts() {
		return new Object[][] { { "repeated", new long[] { 1, 1 }, 2L }, { "lost", new long[] { 1, 3 }, 2L },
				{ "out of order", new long[] { 2, 1 }, 2L }, { "late first part", new long[] { 0, 1 }, 2L },
				{ "repeated, right count", new long[] { 1, 1 }, 3L }, { "lost, right count", new long[] { 1, 3 }, 3L },
				{ "out of order, right count", new long[] { 2, 1 }, 3L }, { "wrong count", new long[] { 1, 2 }, 4L },
				{ "early end", new long[] { 1 }, -1L } };
	}

	@Test(dataProvider = "wrongParts")
	public void wrongPartsNeverEndNormally(String name, long[] numbers, long count) throws Exception {
		FakeAgent agent = this.fixture.first;
		agent.script = (request, events) -> {
			agent.startOrder(request);
			agent.finishOrder(request);
			events.onNext(FakeAgent.accepted());
			for (long number : numbers) {
				events.onNext(FakeAgent.chunk(number, "part " + number));
			}
			if (count >= 0) {
				events.onNext(FakeAgent.finished(request, numbers[numbers.length - 1] + 1, count));
			}
			events.onCompleted();
		};
		RecordingListener listener = this.fixture.run(this.fixture.chat());
		assertEquals(listener.end(), "answer_incomplete unknown", name);
		assertEquals(settled().getRequestId(), "req-1");
		assertEquals(listener.endCount.get(), 1);
		List<String> parts = listener.events.stream().filter((event) -> event.startsWith("part")).toList();
		assertEquals(parts, List.of("part 1", "part 2").subList(0, parts.size()), name);
	}

	@Test
	public void receiptOfAnotherRequestNeverEndsNormally() throws Exception {
		this.fixture.first.script = (request, events) -> {
			events.onNext(FakeAgent.accepted());
			events.onNext(FakeAgent.finished(request.toBuilder().setRequestId("req-9").build(), 1, 1));
		};
		RecordingListener listener = this.fixture.run(this.fixture.chat());
		assertEquals(listener.end(), "answer_incomplete unknown");
	}

	@Test
	public void requestWithDeadlineBeforeOrderStartIsNotRun() throws Exception {
		CompletableFuture<Boolean> started = new CompletableFuture<>();
		CountDownLatch arrived = new CountDownLatch(1);
		CountDownLatch answered = new CountDownLatch(1);
		FakeAgent agent = this.fixture.first;
		agent.script = (request, events) -> new Thread(() -> {
			arrived.countDown();
			awaitLatch(answered);
			started.complete(agent.startOrder(request));
		}).start();
		RecordingListener listener = this.fixture.run(this.fixture.chat());
		assertTrue(arrived.await(20, TimeUnit.SECONDS));
		this.fixture.control.expireDeadlines();
		assertEquals(listener.end(), "timeout not-run");
		assertEquals(released(), "req-1");
		answered.countDown();
		assertFalse(started.get(20, TimeUnit.SECONDS), "The delayed order must find its tombstone");
	}

	@Test
	public void deadlineDuringResponseIsUnknownAndCancelsOrder() throws Exception {
		CountDownLatch cancelled = new CountDownLatch(1);
		hangAfterFirstPart(this.fixture.first, cancelled);
		RecordingListener listener = this.fixture.run(this.fixture.chat());
		listener.firstPart.get(20, TimeUnit.SECONDS);
		this.fixture.control.expireDeadlines();
		assertEquals(listener.end(), "timeout unknown");
		assertTrue(cancelled.await(20, TimeUnit.SECONDS));
		assertEquals(settled().getRequestId(), "req-1");
	}

	@Test
	public void callerDisconnectCancelsOrderAndEndsEvents() throws Exception {
		CountDownLatch cancelled = new CountDownLatch(1);
		hangAfterFirstPart(this.fixture.first, cancelled);
		RecordingListener listener = new RecordingListener();
		RequestRunner.RunningRequest running = this.fixture.runner("gateway-1").run(this.fixture.chat(), listener);
		listener.firstPart.get(20, TimeUnit.SECONDS);
		running.callerGone();
		assertTrue(cancelled.await(20, TimeUnit.SECONDS));
		assertEquals(settled().getRequestId(), "req-1");
		assertEquals(listener.events, List.of("accepted", "a"));
	}

	@Test
	public void slowCallerDelaysNextPart() throws Exception {
		RecordingListener listener = new RecordingListener();
		CompletableFuture<Void> ready = new CompletableFuture<>();
		listener.ready = ready;
		this.fixture.runner("gateway-1").run(this.fixture.chat(), listener);
		listener.firstPart.get(20, TimeUnit.SECONDS);
		this.fixture.control.submit(() -> true).get(20, TimeUnit.SECONDS);
		assertEquals(listener.events, List.of("accepted", "a"));
		listener.ready = CompletableFuture.completedFuture(null);
		ready.complete(null);
		assertEquals(listener.end(), "finished");
	}

	private static void hangAfterFirstPart(FakeAgent agent, CountDownLatch cancelled) {
		agent.script = (request, events) -> {
			((ServerCallStreamObserver<?>) events).setOnCancelHandler(() -> {
				agent.statuses.put(request.getOrderId(),
						ResolveOrderResponse.newBuilder()
							.setState(OrderState.FINISHED)
							.setReceipt(FakeAgent.receipt(request).toBuilder().setStatus(ReceiptStatus.CANCELLED))
							.build());
				cancelled.countDown();
			});
			agent.startOrder(request);
			events.onNext(FakeAgent.accepted());
			events.onNext(FakeAgent.chunk(1, "a"));
		};
	}

	private static void awaitLatch(CountDownLatch latch) {
		try {
			latch.await(20, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
