package io.verbenacleat.entry.dispatch;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.grpc.stub.StreamObserver;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.proto.v1.AgentServiceGrpc;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ResolveOrderRequest;
import io.verbenacleat.proto.v1.ResolveOrderResponse;

/**
 * Queries the agent of one order until the status of the order is final. Not thread-safe;
 * confined to the control thread.
 */
final class ResolveLoop {

	private static final Duration FIRST_DELAY = Duration.ofMillis(100);

	private static final Duration MAX_DELAY = Duration.ofSeconds(5);

	/** Short enough that a lost call is retried before the caller stops waiting. */
	private static final long CALL_TIMEOUT_MS = 400;

	private final OrderResolver resolver;

	private final Member agent;

	private final ResolveOrderRequest request;

	private final boolean continueInBackground;

	private final CompletableFuture<OrderStatus> earlyStatus = new CompletableFuture<>();

	private final CompletableFuture<OrderStatus> finalStatus = new CompletableFuture<>();

	private Duration delay = FIRST_DELAY;

	private boolean inBackground;

	private boolean stopped;

	ResolveLoop(OrderResolver resolver, Member agent, ResolveOrderRequest request, boolean continueInBackground) {
		this.resolver = resolver;
		this.agent = agent;
		this.request = request;
		this.continueInBackground = continueInBackground;
	}

	OrderResolver.Resolution resolution() {
		return new OrderResolver.Resolution(this.earlyStatus, this.finalStatus);
	}

	void start() {
		this.resolver.control().schedule(OrderResolver.EARLY_STATUS_TIMEOUT, this::onEarlyTimeout);
		sendQuery();
	}

	private void onEarlyTimeout() {
		if (this.stopped) {
			return;
		}
		if (this.continueInBackground && this.resolver.tryEnterBackground()) {
			this.inBackground = true;
			this.earlyStatus.complete(new OrderStatus.Unknown());
		}
		else {
			stop(new OrderStatus.Unknown());
		}
	}

	private void sendQuery() {
		if (this.stopped) {
			return;
		}
		AgentServiceGrpc.newStub(this.resolver.channels().get(this.agent.address()))
			.withDeadlineAfter(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
			.resolveOrder(this.request, new ResponseObserver());
	}

	private void onStatus(OrderStatus status) {
		if (this.stopped) {
			return;
		}
		boolean known = !(status instanceof OrderStatus.Unknown);
		if (status.isFinal() || (known && !this.continueInBackground)) {
			stop(status);
			return;
		}
		if (known) {
			this.earlyStatus.complete(status);
		}
		this.resolver.control().schedule(this.delay, this::sendQuery);
		Duration doubled = this.delay.multipliedBy(2);
		this.delay = (doubled.compareTo(MAX_DELAY) < 0) ? doubled : MAX_DELAY;
	}

	private void stop(OrderStatus status) {
		this.stopped = true;
		if (this.inBackground) {
			this.resolver.leaveBackground();
		}
		this.earlyStatus.complete(status);
		this.finalStatus.complete(status);
	}

	private OrderStatus statusAfterFailure() {
		return (this.resolver.isLost(this.agent)) ? new OrderStatus.AgentLost() : new OrderStatus.Unknown();
	}

	private OrderStatus toStatus(ResolveOrderResponse response) {
		return switch (response.getState()) {
			case NEVER_STARTED -> new OrderStatus.NeverStarted();
			case RUNNING -> new OrderStatus.Running();
			case FINISHED ->
				(isForThisOrder(response.getReceipt())) ? new OrderStatus.Ended(response) : new OrderStatus.Unknown();
			case FORGOTTEN -> new OrderStatus.Forgotten();
			default -> new OrderStatus.Unknown();
		};
	}

	private boolean isForThisOrder(Receipt receipt) {
		return receipt.getOrderId().equals(this.request.getOrderId());
	}

	private final class ResponseObserver implements StreamObserver<ResolveOrderResponse> {

		@Override
		public void onNext(ResolveOrderResponse response) {
			ResolveLoop.this.resolver.control().execute(() -> onStatus(toStatus(response)));
		}

		@Override
		public void onError(Throwable failure) {
			ResolveLoop.this.resolver.control().execute(() -> onStatus(statusAfterFailure()));
		}

		@Override
		public void onCompleted() {
		}

	}

}
