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
 * Runs the orders that the {@link OrderTable} admits, each on a worker thread,
 * immediately or after a wait in the queue, and creates their receipts. Control thread
 * only.
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
	 * @param receipts reports the receipts to their holders
	 * @param backend supplies the client of the backend server, {@code null} while it is
	 * not configured
	 * @param workers runs each order on its own thread
	 * @param metrics the metrics of orders
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
	 * @param receivedAtMs the time of arrival in milliseconds since the epoch
	 */
	void execute(ExecuteRequest request, EventStream stream, long receivedAtMs) {
		if (stream.closed()) {
			return;
		}
		Admission admission = this.table.admit(request, receivedAtMs);
		if (admission instanceof Admission.Started started) {
			start(started.order(), stream, receivedAtMs);
		}
		else if (admission instanceof Admission.Queued queued) {
			enqueue(queued.order(), stream, receivedAtMs);
		}
		else if (admission instanceof Admission.Denied denied) {
			refuse(stream, denied.reason(), denied.detail());
		}
		startQueued();
	}

	/**
	 * Starts queued orders until the backend server is at its limit or none waits.
	 */
	public void startQueued() {
		for (ActiveOrder next = this.table.startNext(); next != null; next = this.table.startNext()) {
			ActiveOrder.QueueListener listener = next.queueListener();
			if (listener != null) {
				listener.onStart();
			}
		}
		this.metrics.waiting(this.table.waiting());
	}

	/**
	 * Returns the time at which the last order ended.
	 * @return the time in milliseconds since the epoch; the start time of the agent when
	 * no order has ended
	 */
	public long lastEndMs() {
		return this.lastEndMs;
	}

	private void enqueue(ActiveOrder order, EventStream stream, long receivedAtMs) {
		long leftMs = Math.max(0, this.table.queueDeadlineMs(order) - this.control.clock().millis());
		Cancellable timer = this.control.schedule(Duration.ofMillis(leftMs),
				() -> this.table.withdraw(order, RefusalReason.OVERLOADED, "the order waited as long as it may"));
		order.setQueueListener(new ActiveOrder.QueueListener() {
			@Override
			public void onStart() {
				timer.cancel();
				OrderExecutor.this.start(order, stream, receivedAtMs);
			}

			@Override
			public void onWithdrawn(RefusalReason reason, String detail) {
				timer.cancel();
				recordOrderEnd();
				refuse(stream, reason, detail);
			}
		});
		stream.onDisconnect(() -> this.control
			.execute(() -> this.table.withdraw(order, RefusalReason.TOMBSTONED, "the gateway cancelled the order")));
	}

	private void start(ActiveOrder order, EventStream stream, long receivedAtMs) {
		Backend client = this.backend.get();
		if (client == null) {
			refuseNotRun(order, stream, RefusalReason.BACKEND_UNREACHABLE, "the backend server is not configured");
			return;
		}
		this.metrics.inProgress(this.table.inProgress());
		order.cancellation().onCancel(stream::stopWaiting);
		stream.onDisconnect(order::cancelIfRepeatable);
		long leftMs = order.request().getTimeoutMs() - (this.control.clock().millis() - receivedAtMs);
		Cancellable timer = this.control.schedule(Duration.ofMillis(Math.max(0, leftMs)), () -> {
			order.cancelIfRepeatable();
			stream.stopWaiting();
		});
		OrderExecution execution = new OrderExecution(order, stream);
		try {
			this.workers.execute(() -> {
				BackendOutcome outcome = execution.run(client);
				this.control.execute(() -> {
					timer.cancel();
					finish(order, stream, execution, outcome);
				});
			});
		}
		catch (RejectedExecutionException ex) {
			timer.cancel();
			refuseNotRun(order, stream, RefusalReason.OVERLOADED, "no worker thread is free");
		}
	}

	private void finish(ActiveOrder order, EventStream stream, OrderExecution execution, BackendOutcome outcome) {
		if (outcome.refusal() != null) {
			refuseNotRun(order, stream, outcome.refusal(), outcome.failureDetail());
			return;
		}
		Receipt receipt = receipt(order, outcome);
		this.table.finish(order, receipt,
				(outcome.status() == ReceiptStatus.COMPLETE) ? execution.retainedResponse() : null);
		this.receipts.add(receipt, order.request().getHolderAddress());
		this.metrics.recordReceipt(receipt);
		recordOrderEnd();
		stream.send(ExecuteEvent.newBuilder()
			.setFinished(Finished.newBuilder()
				.setPartCount(stream.partCount())
				.setReceipt(receipt)
				.setFailureCode(outcome.failureCode())
				.setFailureDetail(outcome.failureDetail())));
		stream.complete();
		startQueued();
	}

	private void refuseNotRun(ActiveOrder order, EventStream stream, RefusalReason reason, String detail) {
		this.table.notRun(order);
		recordOrderEnd();
		refuse(stream, reason, detail);
		this.control.execute(this::startQueued);
	}

	private void recordOrderEnd() {
		this.lastEndMs = this.control.clock().millis();
		this.metrics.inProgress(this.table.inProgress());
		this.metrics.waiting(this.table.waiting());
	}

	private void refuse(EventStream stream, RefusalReason reason, String detail) {
		this.metrics.recordRefusal(reason);
		Refused.Builder refused = Refused.newBuilder().setReason(reason).setDetail(detail);
		if (reason == RefusalReason.OVERLOADED) {
			refused.setRetryAfterMs(this.table.nextRetryAfterMs());
		}
		if (this.table.isDraining() && reason != RefusalReason.DRAINING) {
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
