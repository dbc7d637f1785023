package io.verbenacleat.entry.request;

import io.grpc.SynchronizationContext;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.entry.claim.StoredResponse;
import io.verbenacleat.entry.dispatch.OrderResolver;
import io.verbenacleat.entry.dispatch.OrderSender.SentOrder;
import io.verbenacleat.entry.dispatch.OrderStatus;
import io.verbenacleat.proto.v1.ExecuteEvent;
import io.verbenacleat.proto.v1.Finished;
import io.verbenacleat.proto.v1.OrderId;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.RefusalReason;
import io.verbenacleat.proto.v1.Refused;
import org.jspecify.annotations.Nullable;

/**
 * The execution of one order, from sending it until its final status is known and its
 * receipt is passed to the holder. Not thread-safe; confined to the synchronization
 * context of its request.
 * <p>
 * The end of the response is forwarded only after the holder has acknowledged the
 * receipt. If the holder does not acknowledge it within a second, the caller receives
 * ANSWER_INCOMPLETE with an unknown outcome instead of a normal end, because only one
 * copy of the receipt exists until then. The budget router and the agent continue to
 * report the receipt, and the response of a request that may not be repeated is stored
 * for replay.
 */
final class OrderExecution {

	private final RunnerComponents components;

	private final SynchronizationContext context;

	private final Reservation reservation;

	private final CallerResponse response;

	private final NotRunHandler notRunHandler;

	private final Member agent;

	private final OrderId orderId;

	private final @Nullable HeldClaim claim;

	private final ResponseCollector collector = new ResponseCollector();

	private final long startedAtMs;

	private @Nullable SentOrder sentOrder;

	private boolean accepted;

	private boolean waitingForCaller;

	private boolean cancelled;

	private boolean resolving;

	private boolean timedOut;

	private boolean done;

	OrderExecution(RunnerComponents components, SynchronizationContext context, Reservation reservation,
			CallerResponse response, NotRunHandler notRunHandler, Member agent, OrderId orderId,
			@Nullable HeldClaim claim) {
		this.components = components;
		this.context = context;
		this.reservation = reservation;
		this.response = response;
		this.notRunHandler = notRunHandler;
		this.agent = agent;
		this.orderId = orderId;
		this.claim = claim;
		this.startedAtMs = components.control().clock().millis();
	}

	Member agent() {
		return this.agent;
	}

	/**
	 * Sends the order.
	 * @param timeoutMs the timeout of the order in milliseconds, positive
	 */
	void start(long timeoutMs) {
		this.components.selector().started(this.agent);
		long resolvedThrough = this.components.sequences().resolvedThrough(this.agent.incarnation());
		this.sentOrder = this.components.sender()
			.send(this.agent, this.reservation.order(this.orderId, timeoutMs, resolvedThrough),
					new SerialOrderListener(this.context, this));
	}

	/**
	 * Abandons the order because the request timed out or its caller disconnected. A
	 * repeatable order is cancelled; any other order continues to run.
	 * @param timeout whether the request timed out
	 */
	void abandon(boolean timeout) {
		if (this.done) {
			return;
		}
		this.timedOut |= timeout;
		if (timeout && this.accepted) {
			this.response.refuse(lostOrderRefusal());
		}
		if (this.reservation.request().repeatable()) {
			cancel();
			resolve();
		}
		else if (!this.accepted && timeout) {
			resolve();
		}
		else if (this.waitingForCaller) {
			requestMore();
		}
	}

	void onAccepted() {
		if (!this.done && !this.cancelled) {
			this.accepted = true;
			this.response.accept();
			requestMore();
		}
	}

	void onPart(ExecuteEvent event) {
		if (this.done || this.cancelled) {
			return;
		}
		if (this.claim != null) {
			this.collector.add(event);
		}
		this.waitingForCaller = true;
		this.response.forward(event).whenComplete((ready, failure) -> this.context.execute(this::onCallerReady));
	}

	void onRefused(Refused refused) {
		if (refused.getReason() == RefusalReason.DUPLICATE_ORDER) {
			// Only this copy of the order was refused; the first one may be running.
			onStreamFailed(false);
			return;
		}
		switch (refused.getReason()) {
			case BACKEND_UNREACHABLE, DRAINING, WRONG_INCARNATION -> this.components.selector().penalize(this.agent);
			default -> {
			}
		}
		notRun("refused", NotRunReason.of(refused));
	}

	void onFinished(Finished finished) {
		if (!markDone("finished")) {
			return;
		}
		completeClaim(this.collector.response(finished.getReceipt()));
		Receipt receipt = finished.getReceipt();
		this.components.budget()
			.settle(this.reservation.routed().holderAddress(), receipt)
			.whenComplete((settled, failure) -> this.context.execute(() -> respond(finished, failure == null)));
	}

	void onStreamFailed(boolean unsent) {
		if (this.done || this.cancelled) {
			return;
		}
		this.components.selector().penalize(this.agent);
		if (unsent) {
			notRun("unreachable", NotRunReason.UNREACHABLE);
			return;
		}
		if (this.accepted) {
			this.response.refuse(lostOrderRefusal());
		}
		resolve();
	}

	private void onCallerReady() {
		if (this.waitingForCaller) {
			requestMore();
		}
	}

	private void requestMore() {
		this.waitingForCaller = false;
		SentOrder startedOrder = this.sentOrder;
		if (startedOrder != null) {
			startedOrder.requestMore();
		}
	}

	private void cancel() {
		this.cancelled = true;
		SentOrder startedOrder = this.sentOrder;
		if (startedOrder != null) {
			startedOrder.cancel();
		}
	}

	private void resolve() {
		if (this.resolving) {
			return;
		}
		this.resolving = true;
		OrderResolver.Resolution resolution = this.components.resolver()
			.resolve(this.agent, this.orderId, this.reservation.request().repeatable());
		resolution.earlyStatus().thenAccept((status) -> this.context.execute(() -> onEarlyStatus(status)));
		resolution.finalStatus().thenAccept((status) -> this.context.execute(() -> onFinalStatus(status)));
	}

	private void onEarlyStatus(OrderStatus status) {
		if (!this.done && !(status instanceof OrderStatus.NeverStarted)) {
			this.response.refuse(lostOrderRefusal());
		}
	}

	private void onFinalStatus(OrderStatus status) {
		if (status instanceof OrderStatus.NeverStarted) {
			notRun("never_started", NotRunReason.NEVER_STARTED);
		}
		else if (status instanceof OrderStatus.Ended ended) {
			if (markDone("resolved")) {
				cancel();
				completeClaim(ResponseCollector.resolvedResponse(ended.response()));
				settle(ended.response().getReceipt());
			}
		}
		else if (status instanceof OrderStatus.AgentLost) {
			if (markDone("taken_over")) {
				this.components.sequences().markResolved(this.orderId);
				settle(this.reservation.takeoverReceipt(this.orderId, this.agent, this.response.chatChunks(),
						this.startedAtMs, this.components.control().clock().millis()));
			}
		}
		else {
			// The outcome cannot be determined here. The reservation is kept, because the
			// holder may still receive a receipt from the agent.
			markDone((status instanceof OrderStatus.Forgotten) ? "forgotten" : "unresolved");
		}
	}

	private void settle(Receipt receipt) {
		this.components.budget()
			.settle(this.reservation.routed().holderAddress(), receipt)
			.whenComplete((settled, failure) -> this.context.execute(() -> this.response.refuse(lostOrderRefusal())));
	}

	private void completeClaim(@Nullable StoredResponse response) {
		HeldClaim held = this.claim;
		if (held == null) {
			this.components.sequences().markResolved(this.orderId);
			return;
		}
		this.components.claims().complete(held.key(), held.row(), response).thenAccept((written) -> {
			if (written) {
				this.components.sequences().markResolved(this.orderId);
			}
		});
	}

	private void respond(Finished finished, boolean acknowledged) {
		switch (finished.getReceipt().getStatus()) {
			case COMPLETE, CUT -> {
				if (acknowledged) {
					this.response.finish(finished.getReceipt());
				}
				else {
					this.response.refuse(Refusal.unknown(RefusalCode.ANSWER_INCOMPLETE,
							"The answer ended, but its bill could not be recorded in time."));
				}
			}
			case FAILED -> this.response.refuse(Refusal.unknown(RefusalCode.BACKEND_FAILED,
					"The backend server failed: " + finished.getFailureCode()));
			default -> this.response.refuse(
					Refusal.unknown(RefusalCode.ANSWER_INCOMPLETE, "The order was cancelled before its answer ended."));
		}
	}

	private void notRun(String result, NotRunReason reason) {
		if (markDone(result)) {
			cancel();
			if (this.claim == null) {
				this.components.sequences().markResolved(this.orderId);
			}
			this.notRunHandler.onNotRun(this, reason);
		}
	}

	private boolean markDone(String result) {
		if (this.done) {
			return false;
		}
		this.done = true;
		this.components.selector().ended(this.agent);
		this.components.metrics().order(result);
		return true;
	}

	private Refusal lostOrderRefusal() {
		if (this.timedOut) {
			return Refusal.unknown(RefusalCode.TIMEOUT, "The time of the request ran out.");
		}
		return (this.accepted) ? Refusal.unknown(RefusalCode.ANSWER_INCOMPLETE, "The answer broke off before its end.")
				: Refusal.unknown(RefusalCode.ORDER_LOST, "The agent of the request did not answer.");
	}

}
