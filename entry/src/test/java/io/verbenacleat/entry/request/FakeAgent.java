package io.verbenacleat.entry.request;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;

import com.google.protobuf.ByteString;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.rpc.FleetSecret;
import io.verbenacleat.core.rpc.RpcServer;
import io.verbenacleat.proto.v1.Accepted;
import io.verbenacleat.proto.v1.AgentServiceGrpc;
import io.verbenacleat.proto.v1.ExecuteEvent;
import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.Finished;
import io.verbenacleat.proto.v1.HttpHead;
import io.verbenacleat.proto.v1.OrderId;
import io.verbenacleat.proto.v1.OrderState;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.RefusalReason;
import io.verbenacleat.proto.v1.Refused;
import io.verbenacleat.proto.v1.ResolveOrderRequest;
import io.verbenacleat.proto.v1.ResolveOrderResponse;

/**
 * A fake agent on a loopback port that records orders and tombstones, and responds to
 * orders as its script says. Safe for use by several threads.
 */
final class FakeAgent extends AgentServiceGrpc.AgentServiceImplBase implements AutoCloseable {

	static final FleetSecret SECRET = FleetSecret.of("secret-of-the-test-fleet");

	final List<ExecuteRequest> received = new CopyOnWriteArrayList<>();

	/** The ids of the requests that were run, in the order of their starts. */
	final List<String> executed = new CopyOnWriteArrayList<>();

	final Map<OrderId, ResolveOrderResponse> statuses = new ConcurrentHashMap<>();

	volatile BiConsumer<ExecuteRequest, StreamObserver<ExecuteEvent>> script = this::runToCompletion;

	private final Map<String, Long> resolvedThrough = new ConcurrentHashMap<>();

	volatile boolean resolveAvailable = true;

	private final String name;

	private final RpcServer server;

	FakeAgent(String name) throws IOException {
		this.name = name;
		this.server = RpcServer.start("127.0.0.1", 0, SECRET, List.of(this));
	}

	Member member() {
		return new Member(this.name + "-1", Member.Role.AGENT, "127.0.0.1:" + this.server.port(), "127.0.0.1", "region",
				"zone", "site", this.name, 1, 0);
	}

	@Override
	public void execute(ExecuteRequest request, StreamObserver<ExecuteEvent> events) {
		this.received.add(request);
		this.resolvedThrough.merge(request.getOrderId().getGatewayIncarnation(), request.getResolvedThrough(),
				Math::max);
		this.script.accept(request, events);
	}

	@Override
	public void resolveOrder(ResolveOrderRequest request, StreamObserver<ResolveOrderResponse> observer) {
		if (!this.resolveAvailable) {
			observer.onError(Status.UNAVAILABLE.asRuntimeException());
			return;
		}
		if (isResolved(request.getOrderId())) {
			observer.onNext(ResolveOrderResponse.newBuilder().setState(OrderState.FORGOTTEN).build());
			observer.onCompleted();
			return;
		}
		observer.onNext(this.statuses.computeIfAbsent(request.getOrderId(),
				(key) -> ResolveOrderResponse.newBuilder().setState(OrderState.NEVER_STARTED).build()));
		observer.onCompleted();
	}

	/**
	 * Starts an order unless it has a tombstone.
	 * @param request the order
	 * @return {@code true} if the order was started
	 */
	boolean startOrder(ExecuteRequest request) {
		ResolveOrderResponse running = ResolveOrderResponse.newBuilder().setState(OrderState.RUNNING).build();
		if (isResolved(request.getOrderId()) || this.statuses.putIfAbsent(request.getOrderId(), running) != null) {
			return false;
		}
		this.executed.add(request.getRequestId());
		return true;
	}

	private boolean isResolved(OrderId orderId) {
		return orderId.getSequence() <= this.resolvedThrough.getOrDefault(orderId.getGatewayIncarnation(), 0L);
	}

	void runToCompletion(ExecuteRequest request, StreamObserver<ExecuteEvent> events) {
		if (!startOrder(request)) {
			refuse(events, RefusalReason.TOMBSTONED);
			return;
		}
		events.onNext(accepted());
		if (request.hasChat()) {
			events.onNext(chunk(1, "a"));
			events.onNext(chunk(2, "b"));
		}
		else {
			events.onNext(event(1).setHttpHead(HttpHead.newBuilder().setStatus(201)).build());
			events.onNext(event(2).setHttpBody(ByteString.copyFromUtf8("booked")).build());
		}
		finishOrder(request);
		events.onNext(finished(request, 3, 3));
		events.onCompleted();
	}

	void finishOrder(ExecuteRequest request) {
		this.statuses.put(request.getOrderId(), ended(request));
	}

	static ResolveOrderResponse ended(ExecuteRequest request) {
		ResolveOrderResponse.Builder ended = ResolveOrderResponse.newBuilder()
			.setState(OrderState.FINISHED)
			.setReceipt(receipt(request));
		if (request.hasHttp()) {
			ended.setHttpHead(HttpHead.newBuilder().setStatus(201)).setHttpBody(ByteString.copyFromUtf8("booked"));
		}
		return ended.build();
	}

	static void refuse(StreamObserver<ExecuteEvent> events, RefusalReason reason) {
		events.onNext(event(0).setRefused(Refused.newBuilder().setReason(reason)).build());
		events.onCompleted();
	}

	static ExecuteEvent accepted() {
		return event(0).setAccepted(Accepted.getDefaultInstance()).build();
	}

	static ExecuteEvent chunk(long number, String text) {
		return event(number).setChatChunk(ByteString.copyFromUtf8(text)).build();
	}

	static ExecuteEvent finished(ExecuteRequest request, long number, long count) {
		return event(number).setFinished(Finished.newBuilder().setPartCount(count).setReceipt(receipt(request)))
			.build();
	}

	static ExecuteEvent.Builder event(long number) {
		return ExecuteEvent.newBuilder().setPartNumber(number);
	}

	static Receipt receipt(ExecuteRequest request) {
		return Receipt.newBuilder()
			.setRequestId(request.getRequestId())
			.setOrderId(request.getOrderId())
			.setBilledTokens(2)
			.setStatus(ReceiptStatus.COMPLETE)
			.build();
	}

	@Override
	public void close() {
		this.server.close();
	}

}
