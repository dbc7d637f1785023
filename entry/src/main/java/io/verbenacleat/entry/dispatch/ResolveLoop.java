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
 * Resolves one order. Runs on the control thread.
 */
final class ResolveLoop {

	private static final Duration FIRST_DELAY = Duration.ofMillis(100);

	private static final Duration MAX_DELAY = Duration.ofSeconds(5);

	/** Less than the limit of the caller, so that a lost call is repeated in time. */
	private static final long CALL_TIMEOUT_MS = 400;

	private final OrderResolver resolver;

	private final Member agent;

	private final ResolveOrderRequest request;

	private final boolean background;

	private final CompletableFuture<OrderFate> early = new CompletableFuture<>();

	private final CompletableFuture<OrderFate> last = new CompletableFuture<>();

	private Duration delay = FIRST_DELAY;

	private boolean inBackground;

	private boolean stopped;

	ResolveLoop(OrderResolver resolver, Member agent, ResolveOrderRequest request, boolean background) {
		this.resolver = resolver;
		this.agent = agent;
		this.request = request;
		this.background = background;
	}

	OrderResolver.Resolution resolution() {
		return new OrderResolver.Resolution(this.early, this.last);
	}

	void start() {
		this.resolver.control().schedule(OrderResolver.EARLY_LIMIT, this::endEarly);
		call();
	}

	private void endEarly() {
		if (this.stopped) {
			return;
		}
		if (this.background && this.resolver.enterBackground()) {
			this.inBackground = true;
			this.early.complete(new OrderFate.Unknown());
		}
		else {
			stop(new OrderFate.Unknown());
		}
	}

	private void call() {
		if (this.stopped) {
			return;
		}
		AgentServiceGrpc.newStub(this.resolver.channels().get(this.agent.address()))
			.withDeadlineAfter(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
			.resolveOrder(this.request, new Answer());
	}

	private void learn(OrderFate fate) {
		if (this.stopped) {
			return;
		}
		boolean known = !(fate instanceof OrderFate.Unknown);
		if (fate.isFinal() || (known && !this.background)) {
			stop(fate);
			return;
		}
		if (known) {
			this.early.complete(fate);
		}
		this.resolver.control().schedule(this.delay, this::call);
		Duration doubled = this.delay.multipliedBy(2);
		this.delay = (doubled.compareTo(MAX_DELAY) < 0) ? doubled : MAX_DELAY;
	}

	private void stop(OrderFate fate) {
		this.stopped = true;
		if (this.inBackground) {
			this.resolver.leaveBackground();
		}
		this.early.complete(fate);
		this.last.complete(fate);
	}

	private OrderFate onFailure() {
		return (this.resolver.isLost(this.agent)) ? new OrderFate.AgentLost() : new OrderFate.Unknown();
	}

	private OrderFate fate(ResolveOrderResponse response) {
		return switch (response.getState()) {
			case NEVER_STARTED -> new OrderFate.NeverStarted();
			case RUNNING -> new OrderFate.Running();
			case FINISHED -> (isOurs(response.getReceipt())) ? new OrderFate.Ended(response) : new OrderFate.Unknown();
			case FORGOTTEN -> new OrderFate.Forgotten();
			default -> new OrderFate.Unknown();
		};
	}

	private boolean isOurs(Receipt receipt) {
		return receipt.getOrderId().equals(this.request.getOrderId());
	}

	private final class Answer implements StreamObserver<ResolveOrderResponse> {

		@Override
		public void onNext(ResolveOrderResponse response) {
			ResolveLoop.this.resolver.control().execute(() -> learn(fate(response)));
		}

		@Override
		public void onError(Throwable failure) {
			ResolveLoop.this.resolver.control().execute(() -> learn(onFailure()));
		}

		@Override
		public void onCompleted() {
		}

	}

}
