package io.verbenacleat.agent.order;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.verbenacleat.agent.receipt.ReceiptReporter;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.proto.v1.AgentServiceGrpc;
import io.verbenacleat.proto.v1.CloseProcessRequest;
import io.verbenacleat.proto.v1.CloseProcessResponse;
import io.verbenacleat.proto.v1.ExecuteEvent;
import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.GetStatusRequest;
import io.verbenacleat.proto.v1.GetStatusResponse;
import io.verbenacleat.proto.v1.ResolveOrderRequest;
import io.verbenacleat.proto.v1.ResolveOrderResponse;

/**
 * The gRPC service of an agent. Safe for use by several threads; the work is done on the
 * control thread.
 */
public final class AgentGrpcService extends AgentServiceGrpc.AgentServiceImplBase {

	private final ControlThread control;

	private final OrderTable table;

	private final OrderExecutor executor;

	private final ReceiptReporter receipts;

	private final Supplier<AgentStatus> status;

	private final AtomicInteger openStreams = new AtomicInteger();

	/**
	 * Creates a service.
	 * @param control the control thread
	 * @param table the order table
	 * @param executor runs the orders
	 * @param receipts the receipts that are not durable
	 * @param status reports the agent, called on the control thread
	 */
	public AgentGrpcService(ControlThread control, OrderTable table, OrderExecutor executor, ReceiptReporter receipts,
			Supplier<AgentStatus> status) {
		this.control = control;
		this.table = table;
		this.executor = executor;
		this.receipts = receipts;
		this.status = status;
	}

	@Override
	public void execute(ExecuteRequest request, StreamObserver<ExecuteEvent> observer) {
		long receivedAtMs = this.control.clock().millis();
		EventStream stream = new EventStream((ServerCallStreamObserver<ExecuteEvent>) observer,
				this.openStreams::decrementAndGet);
		this.openStreams.incrementAndGet();
		this.control.execute(() -> this.executor.execute(request, stream, receivedAtMs));
	}

	@Override
	public void resolveOrder(ResolveOrderRequest request, StreamObserver<ResolveOrderResponse> observer) {
		if (!this.table.isMine(request.getOrderId())) {
			observer.onError(Status.FAILED_PRECONDITION
				.withDescription("The order was sent to " + request.getOrderId().getAgentIncarnation())
				.asRuntimeException());
			return;
		}
		answer(observer, () -> this.table.resolve(request.getOrderId(), request.getCancel()));
	}

	@Override
	public void closeProcess(CloseProcessRequest request, StreamObserver<CloseProcessResponse> observer) {
		answer(observer, () -> close(request.getIncarnation(), request.getAskingIncarnation()));
	}

	@Override
	public void getStatus(GetStatusRequest request, StreamObserver<GetStatusResponse> observer) {
		answer(observer, () -> {
			AgentStatus present = this.status.get();
			return GetStatusResponse.newBuilder()
				.setIncarnation(present.incarnation())
				.setBackendServer(present.backendServer())
				.setDraining(this.table.draining())
				.setInProgress(this.table.inProgress())
				.setConfigVersion(present.configVersion())
				.setBackendReachable(present.backendReachable())
				.build();
		});
	}

	/**
	 * Returns how many gateways have not received the end of their stream.
	 * @return the count
	 */
	public int openStreams() {
		return this.openStreams.get();
	}

	private CloseProcessResponse close(String process, String asking) {
		this.table.close(process);
		List<ActiveOrder> running = this.table.runningOf(process);
		CloseProcessResponse.Builder response = CloseProcessResponse.newBuilder()
			.setAgentIncarnation(this.status.get().incarnation())
			.setInProgress(running.size())
			.addAllReceipts(this.receipts.waitingFor(process));
		this.receipts.waitingFor(asking)
			.stream()
			.filter((receipt) -> receipt.getOrderId().getGatewayIncarnation().equals(process))
			.forEach((receipt) -> response.addExecutedRequestIds(receipt.getRequestId()));
		running.stream()
			.map(ActiveOrder::request)
			.filter((order) -> order.getOrderId().getGatewayIncarnation().equals(process)
					&& order.getHolderIncarnation().equals(asking))
			.forEach((order) -> response.addExecutedRequestIds(order.getRequestId()));
		return response.build();
	}

	private <T> void answer(StreamObserver<T> observer, Supplier<T> supplier) {
		// With a handler, an answer to a caller that went away is dropped in silence.
		((ServerCallStreamObserver<T>) observer).setOnCancelHandler(() -> {
		});
		this.control.execute(() -> {
			T response;
			try {
				response = supplier.get();
			}
			catch (RuntimeException ex) {
				observer.onError(Status.INTERNAL.withDescription(ex.toString()).asRuntimeException());
				return;
			}
			observer.onNext(response);
			observer.onCompleted();
		});
	}

}
