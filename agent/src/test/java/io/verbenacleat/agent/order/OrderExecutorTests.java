package io.verbenacleat.agent.order;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.agent.queue.OrderQueue;
import io.verbenacleat.agent.queue.QueueLimits;
import io.verbenacleat.agent.receipt.ReceiptReporter;
import io.verbenacleat.agent.receipt.SettleClient;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.proto.v1.ExecuteEvent;
import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.RefusalReason;
import io.verbenacleat.proto.v1.SettleRequest;
import io.verbenacleat.proto.v1.SettleResponse;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against orders that outlive their timeout or end before it without a receipt.
 * Workers run when the test says so.
 */
public class OrderExecutorTests implements AdmissionRules, SettleClient {

	private final List<Runnable> workers = new ArrayList<>();

	private ManualControlThread control = new ManualControlThread(Instant.EPOCH);

	private ReceiptReporter receipts = new ReceiptReporter(this.control, this, new InMemoryTableStore());

	private FakeCall call = new FakeCall();

	@BeforeMethod
	public void reset() {
		this.workers.clear();
		this.control = new ManualControlThread(Instant.EPOCH);
		this.receipts = new ReceiptReporter(this.control, this, new InMemoryTableStore());
		this.call = new FakeCall();
		this.call.setReady();
	}

	@Test
	public void cancelsARepeatableOrderAtItsTimeout() {
		assertEquals(statusAfter(true, Duration.ofSeconds(60)), ReceiptStatus.CANCELLED);
		assertEquals(this.receipts.waitingFor("g").size(), 1);
	}

	@Test
	public void leavesAnOrderAloneBeforeItsTimeout() {
		assertEquals(statusAfter(true, Duration.ofMillis(59_999)), ReceiptStatus.COMPLETE);
	}

	@Test
	public void runsANotRepeatableOrderPastItsTimeout() {
		assertEquals(statusAfter(false, Duration.ofMinutes(10)), ReceiptStatus.COMPLETE);
	}

	@Test
	public void refusesAnOrderOfWhichNothingWasSent() {
		start(true, BackendOutcome.notRun(RefusalReason.BACKEND_UNREACHABLE, "refused"));
		runWorkers();
		assertEquals(this.call.events.size(), 1);
		assertEquals(this.call.events.get(0).getRefused().getReason(), RefusalReason.BACKEND_UNREACHABLE);
		assertTrue(this.receipts.waitingFor("g").isEmpty());
	}

	// Guards against an order that starts after its gateway was told that it was not run.
	@Test
	public void refusesAQueuedOrderWhenTheWaitBoundPasses() {
		OrderExecutor executor = executor(BackendOutcome.ended(ReceiptStatus.COMPLETE),
				new QueueLimits(1, 1, 2_000, List.of()));
		FakeCall second = new FakeCall();
		execute(executor, 1, this.call);
		execute(executor, 2, second);
		this.control.advance(Duration.ofMillis(1_999));
		assertTrue(second.events.isEmpty());
		this.control.advance(Duration.ofMillis(1));
		assertEquals(second.events.get(0).getRefused().getReason(), RefusalReason.OVERLOADED);
		runWorkers();
		assertEquals(this.receipts.waitingFor("g").size(), 1);
		assertEquals(this.workers.size(), 1);
	}

	// Guards against queued orders that are forgotten when the server has room.
	@Test
	public void runsAQueuedOrderWhenAnotherEnds() {
		OrderExecutor executor = executor(BackendOutcome.ended(ReceiptStatus.COMPLETE),
				new QueueLimits(1, 1, 2_000, List.of()));
		execute(executor, 1, this.call);
		execute(executor, 2, this.call);
		FakeCall third = new FakeCall();
		execute(executor, 3, third);
		assertEquals(third.events.get(0).getRefused().getReason(), RefusalReason.OVERLOADED);
		assertTrue(third.events.get(0).getRefused().getRetryAfterMs() > 0);
		runWorkers();
		assertEquals(this.workers.size(), 2);
		this.workers.remove(0);
		runWorkers();
		assertEquals(this.receipts.waitingFor("g").size(), 2);
	}

	private ReceiptStatus statusAfter(boolean repeatable, Duration delay) {
		start(repeatable, BackendOutcome.ended(ReceiptStatus.COMPLETE));
		this.control.advance(delay);
		runWorkers();
		ExecuteEvent last = this.call.events.get(this.call.events.size() - 1);
		return last.getFinished().getReceipt().getStatus();
	}

	private void start(boolean repeatable, BackendOutcome outcome) {
		ExecuteRequest request = TestOrders.order("g", "a", 1)
			.setRepeatable(repeatable)
			.setHttp(TestOrders.http("POST", "/"))
			.build();
		executor(outcome, QueueLimits.withoutQueue(4)).execute(request,
				new EventStream(this.call, this.call.closed::countDown), 0);
	}

	private void execute(OrderExecutor executor, long sequence, FakeCall to) {
		executor.execute(TestOrders.order("g", "a", sequence).setHttp(TestOrders.http("POST", "/")).build(),
				new EventStream(to, to.closed::countDown), this.control.clock().millis());
	}

	private OrderExecutor executor(BackendOutcome outcome, QueueLimits limits) {
		Backend backend = (order, sink, cancellation) -> (cancellation.isCancelled())
				? BackendOutcome.ended(ReceiptStatus.CANCELLED) : outcome;
		OrderTable table = new OrderTable("a", this.control.clock(), OrderLimits.of(4), this,
				new OrderQueue<>(this.control.clock(), limits, new SplittableRandom(1)));
		return new OrderExecutor(this.control, table, this.receipts, () -> backend, this.workers::add,
				new OrderMetrics(new PrometheusRegistry()), "server-1");
	}

	private void runWorkers() {
		List.copyOf(this.workers).forEach(Runnable::run);
		this.control.runPending();
	}

	@Override
	public boolean isMember(String incarnation) {
		return true;
	}

	@Override
	public boolean isDraining() {
		return false;
	}

	@Override
	public boolean serves(ExecuteRequest order) {
		return true;
	}

	@Override
	public boolean hasReceiptCapacity(int running) {
		return true;
	}

	@Override
	public CompletableFuture<SettleResponse> settle(String address, SettleRequest request) {
		return new CompletableFuture<>();
	}

	@Override
	public void release(String address) {
	}

}
