package io.verbenacleat.agent.order;

import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Supplier;

import io.verbenacleat.agent.receipt.ReceiptReporter;
import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.proto.v1.ExecuteEvent;
import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.Finished;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.RefusalReason;
import io.verbenacleat.proto.v1.Refused;
import org.jspecify.annotations.Nullable;

/**
 * Runs the orders that the table lets start, at once or after a wait in its queue, each
 * on a worker thread, and makes their receipts. Control thread only.
 */
public final class OrderExecutor {

	private final ControlThread control;

	private final OrderTable table;

	private final ReceiptReporter receipts;

	private final Supplier<@Nullable Backend> backend;

	private final Executor workers;

	private final OrderMetrics metrics;

	private final String backendServer;

	private long lastEndMs;

	/**
	 * Creates an executor.
	 * @param control the control thread
	 * @param table the order table
	 * @param receipts where the receipts go
	 * @param backend the backend server, {@code null} while it is not configured
	 * @param workers runs each order on a thread of its own
	 * @param metrics the counters
	 * @param backendServer the name of the backend server
	 */
	public OrderExecutor(ControlThread control, OrderTable table, ReceiptReporter receipts,
			Supplier<@Nullable Backend> backend, Executor workers, OrderMetrics metrics, String backendServer) {
		this.control = control;
		this.table = table;
		this.receipts = receipts;
		this.backend = backend;
		this.workers = workers;
		this.metrics = metrics;
		this.backendServer = backendServer;
		this.lastEndMs = control.clock().millis();
	}

	/**
	 * Starts, queues or refuses an order.
	 * @param request the order
	 * @param stream the stream to its gateway
	 * @param receivedAtMs when it arrived, in milliseconds since the epoch
	 */
	void execute(ExecuteRequest request, EventStream stream, long receivedAtMs) {
		if (stream.gone()) {
			return;
		}
		Admission admission = this.table.admit(request, receivedAtMs);
		if (admission instanceof Admission.Started started) {
			start(started.order(), stream, receivedAtMs);
		}
		else if (admission instanceof Admission.Queued queued) {
			queue(queued.order(), stream, receivedAtMs);
		}
		else if (admission instanceof Admission.Denied denied) {
			refuse(stream, denied.reason(), denied.detail());
		}
		startQueued();
	}

	/**
	 * Starts orders that wait, as far as more may run.
	 */
	public void startQueued() {
		for (ActiveOrder next = this.table.startNext(); next != null; next = this.table.startNext()) {
			ActiveOrder.Waiter waiter = next.waiter();
			if (waiter != null) {
				waiter.start();
			}
		}
		this.metrics.waiting(this.table.waiting());
	}

	/**
	 * Returns when the last order ended.
	 * @return the time in milliseconds since the epoch; the start of the agent when none
	 * has ended
	 */
	public long lastEndMs() {
		return this.lastEndMs;
	}

	private void queue(ActiveOrder order, EventStream stream, long receivedAtMs) {
		long leftMs = Math.max(0, this.table.leaveByMs(order) - this.control.clock().millis());
		Cancellable timer = this.control.schedule(Duration.ofMillis(leftMs),
				() -> this.table.withdraw(order, RefusalReason.OVERLOADED, "the order waited as long as it may"));
		order.setWaiter(new ActiveOrder.Waiter() {
			@Override
			public void start() {
				timer.cancel();
				OrderExecutor.this.start(order, stream, receivedAtMs);
			}

			@Override
			public void withdrawn(RefusalReason reason, String detail) {
				timer.cancel();
				orderLeft();
				refuse(stream, reason, detail);
			}
		});
		stream.onGone(() -> this.control
			.execute(() -> this.table.withdraw(order, RefusalReason.TOMBSTONED, "the gateway cancelled the order")));
	}

	private void start(ActiveOrder order, EventStream stream, long receivedAtMs) {
		Backend target = this.backend.get();
		if (target == null) {
			notRun(order, stream, RefusalReason.BACKEND_UNREACHABLE, "the backend server is not configured");
			return;
		}
		this.metrics.inProgress(this.table.inProgress());
		order.cancellation().onCancel(stream::stopWaiting);
		stream.onGone(order::cancelIfRepeatable);
		long leftMs = order.request().getTimeoutMs() - (this.control.clock().millis() - receivedAtMs);
		Cancellable timer = this.control.schedule(Duration.ofMillis(Math.max(0, leftMs)), () -> {
			order.cancelIfRepeatable();
			stream.stopWaiting();
		});
		OrderRun run = new OrderRun(order, stream);
		try {
			this.workers.execute(() -> {
				BackendOutcome outcome = run.run(target);
				this.control.execute(() -> {
					timer.cancel();
					ended(order, stream, run, outcome);
				});
			});
		}
		catch (RejectedExecutionException ex) {
			timer.cancel();
			notRun(order, stream, RefusalReason.OVERLOADED, "no worker thread is free");
		}
	}

	private void ended(ActiveOrder order, EventStream stream, OrderRun run, BackendOutcome outcome) {
		if (outcome.refusal() != null) {
			notRun(order, stream, outcome.refusal(), outcome.failureDetail());
			return;
		}
		Receipt receipt = receipt(order, outcome);
		this.table.finish(order, receipt, (outcome.status() == ReceiptStatus.COMPLETE) ? run.kept() : null);
		this.receipts.add(receipt, order.request().getHolderAddress());
		this.metrics.ended(receipt);
		orderLeft();
		stream.send(ExecuteEvent.newBuilder()
			.setFinished(Finished.newBuilder()
				.setPartCount(stream.parts())
				.setReceipt(receipt)
				.setFailureCode(outcome.failureCode())
				.setFailureDetail(outcome.failureDetail())));
		stream.complete();
		startQueued();
	}

	private void notRun(ActiveOrder order, EventStream stream, RefusalReason reason, String detail) {
		this.table.notRun(order);
		orderLeft();
		refuse(stream, reason, detail);
		this.control.execute(this::startQueued);
	}

	private void orderLeft() {
		this.lastEndMs = this.control.clock().millis();
		this.metrics.inProgress(this.table.inProgress());
		this.metrics.waiting(this.table.waiting());
	}

	private void refuse(EventStream stream, RefusalReason reason, String detail) {
		this.metrics.refused(reason);
		Refused.Builder refused = Refused.newBuilder().setReason(reason).setDetail(detail);
		if (reason == RefusalReason.OVERLOADED) {
			refused.setRetryAfterMs(this.table.turnAway());
		}
		if (this.table.draining() && reason != RefusalReason.DRAINING) {
			refused.setDetail(detail + "; this agent drains");
		}
		stream.send(ExecuteEvent.newBuilder().setRefused(refused));
		stream.complete();
	}

	private Receipt receipt(ActiveOrder order, BackendOutcome outcome) {
		ExecuteRequest request = order.request();
		return Receipt.newBuilder()
			.setRequestId(request.getRequestId())
			.setOrderId(request.getOrderId())
			.setAccount(request.getAccount())
			.setCallerId(request.getCallerId())
			.setHolderIncarnation(request.getHolderIncarnation())
			.setBackendServer(this.backendServer)
			.setTarget((request.hasChat()) ? request.getChat().getModel() : request.getHttp().getService())
			.setPromptTokens(outcome.promptTokens())
			.setAnswerTokens(outcome.answerTokens())
			.setBilledTokens(outcome.billedTokens())
			.setHeldTokens(outcome.heldTokens())
			.setStatus(outcome.status())
			.setStartedAtMs(order.startedAtMs())
			.setFinishedAtMs(this.control.clock().millis())
			.build();
	}

}
