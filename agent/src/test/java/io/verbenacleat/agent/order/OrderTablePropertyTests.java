package io.verbenacleat.agent.order;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import io.verbenacleat.agent.queue.OrderQueue;
import io.verbenacleat.agent.queue.QueueLimits;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.OrderId;
import io.verbenacleat.proto.v1.OrderState;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.RefusalReason;
import io.verbenacleat.proto.v1.ResolveOrderResponse;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against an order that starts twice, or after a refusal, a tombstone, a close or
 * a drain, under any interleaving and with the memory bounds in reach; and against queued
 * orders that start after they left the queue, or stay in it after a cancel or a close.
 */
class OrderTablePropertyTests {

	private static final String AGENT = "agent";

	@Property(seed = "20261204", tries = 3_000, shrinking = ShrinkingMode.FULL)
	void startsNoOrderThatMustNotStart(@ForAll("steps") List<Step> steps, @ForAll("limits") OrderLimits limits,
			@ForAll("queues") QueueLimits queue) {
		Run run = new Run(limits, queue);
		steps.forEach(run::apply);
	}

	@Provide
	Arbitrary<List<Step>> steps() {
		Arbitrary<Step> step = Combinators
			.combine(Arbitraries.of(Action.values()), Arbitraries.integers().between(0, 2),
					Arbitraries.integers().between(1, 8), Arbitraries.integers().between(0, 2),
					Arbitraries.of(true, false))
			.as(Step::new);
		return step.list().ofMaxSize(60);
	}

	@Provide
	Arbitrary<OrderLimits> limits() {
		return Combinators
			.combine(Arbitraries.integers().between(1, 6), Arbitraries.integers().between(1, 20),
					Arbitraries.integers().between(1, 4), Arbitraries.of(0L, 100_000L, 1_000_000L))
			.as((running, slots, processes, keptBytes) -> new OrderLimits(running, slots, processes, keptBytes,
					Long.MAX_VALUE));
	}

	@Provide
	Arbitrary<QueueLimits> queues() {
		return Combinators
			.combine(Arbitraries.integers().between(1, 4), Arbitraries.integers().between(0, 3),
					Arbitraries.of(0L, 2_000L, 600_000L))
			.as((running, waiting, waitMs) -> new QueueLimits(running, waiting, waitMs, List.of()));
	}

	enum Action {

		EXECUTE, EXECUTE_AGAIN, EXECUTE_LATE, RESOLVE, CLOSE, JOIN, LEAVE, DRAIN, END, NOT_RUN, START_NEXT, WITHDRAW

	}

	record Step(Action action, int gateway, int sequence, int holder, boolean flag) {

		OrderId id() {
			return TestOrders.order("g" + this.gateway, AGENT, this.sequence).getOrderId();
		}

	}

	/** Runs the steps on a table and on plain sets of what happened. */
	private static final class Run implements AdmissionRules {

		private final ManualControlThread control = new ManualControlThread(Instant.EPOCH);

		private final OrderTable table;

		private final Map<OrderId, ActiveOrder> running = new HashMap<>();

		private final Map<OrderId, ActiveOrder> queued = new HashMap<>();

		private final Map<OrderId, Receipt> finished = new HashMap<>();

		private final Set<OrderId> started = new HashSet<>();

		private final Set<OrderId> forbidden = new HashSet<>();

		private final Set<String> closed = new HashSet<>();

		private final Set<String> unknown = new HashSet<>();

		private boolean draining;

		private Run(OrderLimits limits, QueueLimits queue) {
			this.table = new OrderTable(AGENT, this.control.clock(), limits, this,
					new OrderQueue<>(this.control.clock(), queue, new SplittableRandom(1)));
		}

		private void apply(Step step) {
			switch (step.action()) {
				case EXECUTE, EXECUTE_AGAIN -> execute(step, this.control.clock().millis());
				case EXECUTE_LATE -> {
					long sentMs = this.control.clock().millis();
					this.control.advance(Duration.ofMinutes(2));
					timeOut();
					execute(step, sentMs);
				}
				case RESOLVE -> resolve(step);
				case CLOSE -> {
					this.table.close("g" + step.gateway());
					this.closed.add("g" + step.gateway());
					this.queued.values()
						.forEach((order) -> assertFalse(order.concerns("g" + step.gateway()), "queued after a close"));
				}
				case JOIN -> this.unknown.remove("g" + step.gateway());
				case LEAVE -> this.unknown.add("g" + step.gateway());
				case DRAIN -> {
					this.draining = step.flag();
				}
				case END -> end(step.id(), true);
				case NOT_RUN -> end(step.id(), false);
				case START_NEXT -> startNext();
				case WITHDRAW -> withdraw(step.id());
			}
			assertEquals(this.table.inProgress(), this.running.size() + this.queued.size());
			assertEquals(this.table.waiting(), this.queued.size());
		}

		private void startNext() {
			ActiveOrder order = this.table.startNext();
			if (order != null) {
				OrderId id = order.request().getOrderId();
				assertTrue(this.queued.remove(id, order), "started an order that does not wait");
				assertTrue(this.started.add(id), "started twice");
				assertFalse(this.forbidden.contains(id), "started after it left the queue");
				assertFalse(order.concerns("g0") && this.closed.contains("g0"), "started after a close");
				this.running.put(id, order);
			}
		}

		private void withdraw(OrderId id) {
			ActiveOrder order = this.queued.get(id);
			if (order != null) {
				this.table.withdraw(order, RefusalReason.OVERLOADED, "");
				assertFalse(this.queued.containsKey(id), "not withdrawn");
			}
		}

		/** Does what the timers of the executor do. */
		private void timeOut() {
			List.copyOf(this.queued.values())
				.stream()
				.filter((order) -> this.table.leaveByMs(order) <= this.control.clock().millis())
				.forEach((order) -> withdraw(order.request().getOrderId()));
		}

		private void queue(ActiveOrder order) {
			OrderId id = order.request().getOrderId();
			assertFalse(this.draining, "queued while draining");
			assertFalse(this.started.contains(id) || this.forbidden.contains(id),
					"queued an order that must not start");
			this.queued.put(id, order);
			order.setWaiter(new ActiveOrder.Waiter() {
				@Override
				public void start() {
				}

				@Override
				public void withdrawn(RefusalReason reason, String detail) {
					assertTrue(Run.this.queued.remove(id, order), "told an order that does not wait");
					Run.this.forbidden.add(id);
				}
			});
		}

		private void execute(Step step, long receivedAtMs) {
			OrderId id = step.id();
			ExecuteRequest request = TestOrders.order("g" + step.gateway(), AGENT, step.sequence())
				.setHolderIncarnation("g" + step.holder())
				.setRepeatable(step.flag())
				.setResolvedThrough(mark(id))
				.setHttp(TestOrders.http("POST", "/"))
				.build();
			Admission admission = this.table.admit(request, receivedAtMs);
			if (admission instanceof Admission.Started start) {
				assertFalse(this.draining, "started while draining");
				assertTrue(this.started.add(id), "started twice");
				assertFalse(this.forbidden.contains(id), "started after a refusal or tombstone");
				assertFalse(this.unknown.contains("g" + step.gateway()), "started for a gateway that is no member");
				assertFalse(this.unknown.contains("g" + step.holder()), "started on a holder that is no member");
				assertFalse(this.closed.contains("g" + step.gateway()), "started after the close of its gateway");
				assertFalse(this.closed.contains("g" + step.holder()), "started after the close of its holder");
				assertEquals(receivedAtMs, this.control.clock().millis(), "started after its timeout");
				this.running.put(id, start.order());
			}
			else if (admission instanceof Admission.Queued wait) {
				queue(wait.order());
			}
			else if (admission instanceof Admission.Denied denied && denied.reason() == RefusalReason.DUPLICATE_ORDER) {
				assertTrue(this.started.contains(id) || this.queued.containsKey(id),
						"refused as a duplicate without a start");
			}
			else if (!this.started.contains(id)) {
				this.forbidden.add(id);
			}
		}

		private void resolve(Step step) {
			OrderId id = step.id();
			boolean waited = this.queued.containsKey(id);
			ResolveOrderResponse response = this.table.resolve(id, step.flag());
			if (response.getState() == OrderState.NEVER_STARTED) {
				assertFalse(this.queued.containsKey(id), "denied an order that still waits");
				assertFalse(this.running.containsKey(id) || this.finished.containsKey(id), "denied an order that ran");
				this.forbidden.add(id);
			}
			else if (response.getState() == OrderState.FINISHED) {
				assertEquals(response.getReceipt(), this.finished.get(id));
			}
			else if (response.getState() == OrderState.RUNNING) {
				assertTrue(this.running.containsKey(id) || this.queued.containsKey(id));
			}
			if (this.finished.containsKey(id)) {
				assertNotEquals(response.getState(), OrderState.RUNNING);
			}
			if (waited) {
				assertEquals(response.getState(), (step.flag()) ? OrderState.NEVER_STARTED : OrderState.RUNNING);
			}
		}

		private void end(OrderId id, boolean ran) {
			ActiveOrder order = this.running.remove(id);
			if (order == null) {
				return;
			}
			if (ran) {
				Receipt receipt = Receipt.newBuilder().setRequestId(order.request().getRequestId()).build();
				this.finished.put(id, receipt);
				this.table.finish(order, receipt, null);
			}
			else {
				this.forbidden.add(id);
				this.table.notRun(order);
			}
		}

		/** The gateway has resolved all orders below its first one that is open. */
		private long mark(OrderId id) {
			List<Long> open = new ArrayList<>();
			for (long sequence = 1; sequence <= id.getSequence(); sequence++) {
				OrderId other = id.toBuilder().setSequence(sequence).build();
				if (!this.finished.containsKey(other) && !this.forbidden.contains(other)) {
					open.add(sequence);
				}
			}
			return Math.min(id.getSequence() - 1, (open.isEmpty()) ? id.getSequence() : open.get(0) - 1);
		}

		@Override
		public boolean isMember(String incarnation) {
			return !this.unknown.contains(incarnation);
		}

		@Override
		public boolean isDraining() {
			return this.draining;
		}

		@Override
		public boolean serves(ExecuteRequest order) {
			return true;
		}

		@Override
		public boolean hasReceiptCapacity(int count) {
			return true;
		}

	}

}
