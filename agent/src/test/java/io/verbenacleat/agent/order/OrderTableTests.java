package io.verbenacleat.agent.order;

import java.time.Duration;
import java.time.Instant;

import com.google.protobuf.ByteString;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.HttpHead;
import io.verbenacleat.proto.v1.OrderState;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.RefusalReason;
import io.verbenacleat.proto.v1.ResolveOrderResponse;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against refusals with the wrong reason and outcomes that are lost too early.
 */
public class OrderTableTests implements AdmissionRules {

	private final ManualControlThread control = new ManualControlThread(Instant.EPOCH);

	private boolean draining;

	private String unknown = "";

	private boolean serves;

	private boolean room;

	private OrderTable table = table(new OrderLimits(2, 10, 3, KeptResponse.MAX_BYTES, Long.MAX_VALUE));

	@BeforeMethod
	public void reset() {
		this.draining = false;
		this.serves = true;
		this.room = true;
		this.unknown = "";
		this.table = table(new OrderLimits(2, 10, 3, KeptResponse.MAX_BYTES, Long.MAX_VALUE));
	}

	@Test
	public void refusesWithTheReasonOfTheTable() {
		assertEquals(deniedFor(order(1).setOrderId(order(1).getOrderIdBuilder().setAgentIncarnation("old"))),
				RefusalReason.WRONG_INCARNATION);
		assertEquals(deniedFor(order(1).setTimeoutMs(0)), RefusalReason.INVALID_ORDER);
		assertEquals(deniedFor(order(2).setResolvedThrough(2)), RefusalReason.INVALID_ORDER);
		assertEquals(deniedFor(order(1).clearWork()), RefusalReason.INVALID_ORDER);
		this.table.resolve(order(1).getOrderId(), false);
		assertEquals(deniedFor(order(1)), RefusalReason.TOMBSTONED);
		start(order(2));
		assertEquals(deniedFor(order(2)), RefusalReason.DUPLICATE_ORDER);
		this.table.close("h");
		assertEquals(deniedFor(order(3).setHolderIncarnation("h")), RefusalReason.HOLDER_CLOSED);
		this.table.close("g");
		assertEquals(deniedFor(order(4)), RefusalReason.GATEWAY_CLOSED);
	}

	@Test
	public void refusesOrdersOfProcessesThatAreNotMembers() {
		this.unknown = "g";
		assertEquals(deniedFor(order(1)), RefusalReason.NOT_A_MEMBER);
		this.unknown = "h";
		assertEquals(deniedFor(order(2).setHolderIncarnation("h")), RefusalReason.NOT_A_MEMBER);
		this.unknown = "";
		assertEquals(deniedFor(order(1)), RefusalReason.TOMBSTONED);
	}

	@Test
	public void refusesWithTheReasonOfTheAgent() {
		this.draining = true;
		assertEquals(deniedFor(order(1)), RefusalReason.DRAINING);
		this.draining = false;
		this.serves = false;
		assertEquals(deniedFor(order(2)), RefusalReason.MODEL_NOT_SERVED);
		this.serves = true;
		this.room = false;
		assertEquals(deniedFor(order(3)), RefusalReason.OVERLOADED);
		this.room = true;
		assertEquals(deniedFor(order(1)), RefusalReason.TOMBSTONED);
		start(order(4));
		start(order(5));
		assertEquals(deniedFor(order(6)), RefusalReason.OVERLOADED);
	}

	@Test
	public void keepsTheResponseUntilTheMark() {
		ActiveOrder order = start(order(1).setRepeatable(false).setHttp(TestOrders.http("POST", "/a")));
		assertEquals(deniedFor(order(2).setRepeatable(false).setHttp(TestOrders.http("POST", "/b"))),
				RefusalReason.OVERLOADED);
		HttpHead head = HttpHead.newBuilder().setStatus(201).build();
		this.table.finish(order, Receipt.newBuilder().setRequestId("r").build(),
				new KeptResponse(head, ByteString.copyFromUtf8("booked")));
		ResolveOrderResponse kept = this.table.resolve(order(1).getOrderId(), false);
		assertEquals(kept.getHttpBody().toStringUtf8(), "booked");
		assertEquals(kept.getHttpHead(), head);
		start(order(3).setResolvedThrough(2).setRepeatable(false).setHttp(TestOrders.http("POST", "/c")));
		assertEquals(this.table.resolve(order(1).getOrderId(), false).getState(), OrderState.FORGOTTEN);
	}

	@Test
	public void closeCancelsOnlyRepeatableOrdersOfTheGateway() {
		ActiveOrder repeatable = start(order(1));
		ActiveOrder once = start(order(2).setRepeatable(false).setHttp(TestOrders.http("POST", "/a")));
		this.table.close("g");
		assertTrue(repeatable.cancellation().isCancelled());
		assertFalse(once.cancellation().isCancelled());
		assertEquals(this.table.runningOf("g").size(), 2);
	}

	@Test
	public void forgetsOutcomesOfClosedGatewaysAtTheBound() {
		for (int i = 1; i <= 9; i++) {
			this.table.finish(start(order(i)), Receipt.getDefaultInstance(), null);
		}
		this.table.resolve(order(10).getOrderId(), false);
		ExecuteRequest.Builder other = TestOrders.order("other", "agent", 1).setChat(TestOrders.chat(10));
		assertEquals(deniedFor(other), RefusalReason.OVERLOADED);
		this.table.close("g");
		this.control.advance(Duration.ofSeconds(10));
		start(other.setOrderId(other.getOrderIdBuilder().setSequence(2)));
		assertEquals(this.table.resolve(order(1).getOrderId(), false).getState(), OrderState.FORGOTTEN);
		assertEquals(deniedFor(order(10)), RefusalReason.GATEWAY_CLOSED);
		assertEquals(deniedFor(other.setOrderId(other.getOrderIdBuilder().setSequence(1))), RefusalReason.TOMBSTONED);
	}

	// Guards against large requests that wait until the heap is used up.
	@Test
	public void refusesRequestsThatTakeTooManyBytesTogether() {
		long bytes = order(1).build().getSerializedSize();
		this.table = table(new OrderLimits(10, 10, 3, KeptResponse.MAX_BYTES, 2 * bytes));
		ActiveOrder first = start(order(1));
		start(order(2));
		assertEquals(deniedFor(order(3)), RefusalReason.OVERLOADED);
		this.table.notRun(first);
		start(order(4));
		assertEquals(deniedFor(order(5)), RefusalReason.OVERLOADED);
	}

	@Test
	public void startsNothingOnceTooManyProcessesWereSeen() {
		this.table.close("a");
		this.table.close("b");
		this.table.close("c");
		start(order(1));
		this.table.close("d");
		assertTrue(this.table.exhausted());
		assertEquals(deniedFor(order(2).setHolderIncarnation("d")), RefusalReason.OVERLOADED);
		assertEquals(this.table.resolve(order(1).getOrderId(), false).getState(), OrderState.RUNNING);
	}

	@Override
	public boolean isMember(String incarnation) {
		return !this.unknown.equals(incarnation);
	}

	@Override
	public boolean isDraining() {
		return this.draining;
	}

	@Override
	public boolean serves(ExecuteRequest order) {
		return this.serves;
	}

	@Override
	public boolean hasReceiptCapacity(int running) {
		return this.room;
	}

	private OrderTable table(OrderLimits limits) {
		return new OrderTable("agent", this.control.clock(), limits, this,
				TestOrders.noQueue(this.control.clock(), limits.maxInProgress()));
	}

	private static ExecuteRequest.Builder order(long sequence) {
		return TestOrders.order("g", "agent", sequence).setChat(TestOrders.chat(10));
	}

	private ActiveOrder start(ExecuteRequest.Builder order) {
		return ((Admission.Started) this.table.admit(order.build(), this.control.clock().millis())).order();
	}

	private RefusalReason deniedFor(ExecuteRequest.Builder order) {
		return ((Admission.Denied) this.table.admit(order.build(), this.control.clock().millis())).reason();
	}

}
