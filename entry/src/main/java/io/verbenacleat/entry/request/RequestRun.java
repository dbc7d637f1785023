package io.verbenacleat.entry.request;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.grpc.SynchronizationContext;
import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.entry.budget.RoutedReservation;
import io.verbenacleat.proto.v1.OrderId;
import io.verbenacleat.proto.v1.ReserveRequest;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * One request: reservation, claim, orders. Everything runs in a serial context of its
 * own, in whichever thread brings the news.
 */
final class RequestRun implements RequestRunner.RunningRequest, OrderOwner {

	private static final Logger logger = LogManager.getLogger(RequestRun.class);

	private final SynchronizationContext context = new SynchronizationContext(
			(thread, failure) -> logger.error("A step of a request failed", failure));

	private final RunnerParts parts;

	private final CallerRequest request;

	private final Answer answer;

	private final long startedAtMs;

	private final Set<String> excluded = new HashSet<>();

	private @Nullable Cancellable deadline;

	private @Nullable Reservation reservation;

	private @Nullable HeldClaim claim;

	private @Nullable OrderRun order;

	private @Nullable String countedWorkspace;

	private boolean timedOut;

	RequestRun(RunnerParts parts, CallerRequest request, ResponseListener listener) {
		this.parts = parts;
		this.request = request;
		this.answer = new Answer(listener, parts.metrics(), this::ended);
		this.startedAtMs = parts.control().clock().millis();
	}

	void start(String gateway) {
		this.context.execute(() -> {
			this.parts.retries().onRequest();
			this.deadline = this.parts.control()
				.schedule(this.request.timeout(), () -> this.context.execute(this::timeOut));
			ReserveRequest reserve = ReserveRequest.newBuilder()
				.setRequestId(this.request.requestId())
				.setGatewayIncarnation(gateway)
				.setAccount(this.request.key().accountId())
				.setKeySha256(this.request.key().sha256())
				.setTokens(this.request.reserveTokens())
				.build();
			this.parts.budget()
				.reserve(reserve)
				.whenComplete((routed, failure) -> this.context.execute(() -> reserved(routed)));
		});
	}

	@Override
	public void callerGone() {
		this.context.execute(() -> {
			this.answer.close();
			uncount();
			giveUpOrder(false);
		});
	}

	private void timeOut() {
		this.timedOut = true;
		if (this.order != null) {
			giveUpOrder(true);
		}
		else {
			this.answer.refuse(timeout());
		}
	}

	private void giveUpOrder(boolean timeout) {
		OrderRun running = this.order;
		if (running != null) {
			running.giveUp(timeout);
		}
	}

	private static Refusal timeout() {
		return Refusal.notRun(RefusalCode.TIMEOUT, "The time of the request ran out before it was run.");
	}

	private Refusal noBackendServer() {
		return Refusal.notRun(RefusalCode.NO_BACKEND_SERVER, "No backend server takes this request.")
			.withRetryAfterMs(this.parts.retryAfterMs());
	}

	private void reserved(@Nullable RoutedReservation routed) {
		if (routed == null) {
			refuse(ReserveRefusals.unreachable(this.parts.retryAfterMs()));
			return;
		}
		if (!routed.response().getGranted()) {
			refuse(ReserveRefusals.map(routed.response(), this.parts.retryAfterMs()));
			return;
		}
		Reservation granted = new Reservation(this.request, routed);
		this.reservation = granted;
		String idempotencyKey = this.request.idempotencyKey();
		Refusal overLimit = (this.answer.isClosed()) ? timeout() : count(routed.response().getWorkspace());
		if (overLimit != null) {
			refuse(overLimit);
		}
		else if (this.request.repeatable()) {
			select().ifPresentOrElse((agent) -> dispatch(granted, agent), () -> refuse(noBackendServer()));
		}
		else if (idempotencyKey == null) {
			refuse(Refusal.notRun(RefusalCode.IDEMPOTENCY_KEY_REQUIRED,
					"A request that may not be repeated needs an Idempotency-Key."));
		}
		else {
			new Claiming(this.parts, this.request, idempotencyKey).start()
				.thenAccept((decision) -> this.context.execute(() -> decided(granted, decision)));
		}
	}

	// Only the grant names the workspace, and only a granted key proves the account.
	private @Nullable Refusal count(String workspace) {
		Refusal refusal = this.parts.shares().enter(this.parts.limits(), this.request.key().accountId(), workspace);
		if (refusal == null) {
			this.countedWorkspace = workspace;
		}
		return refusal;
	}

	private void uncount() {
		String workspace = this.countedWorkspace;
		if (workspace != null) {
			this.countedWorkspace = null;
			this.parts.shares().leave(this.request.key().accountId(), workspace);
		}
	}

	private void decided(Reservation granted, ClaimDecision decision) {
		if (decision instanceof ClaimDecision.Dispatch dispatch) {
			this.claim = dispatch.claim();
			if (this.answer.isClosed()) {
				refuse(timeout());
			}
			else {
				send(granted, dispatch.claim().row().agent(), dispatch.claim().row().orderId());
			}
		}
		else if (decision instanceof ClaimDecision.Replay replay) {
			release();
			this.answer.replay(replay.head(), replay.body());
		}
		else if (decision instanceof ClaimDecision.Refuse refusal) {
			refuse(refusal.refusal());
		}
	}

	private void dispatch(Reservation granted, Member agent) {
		send(granted, agent, this.parts.sequences().next(agent.incarnation()));
	}

	private Optional<Member> select() {
		return this.parts.selector().select(WorkTargets.of(this.request), this.request.prefix(), this.excluded);
	}

	private void send(Reservation granted, Member agent, OrderId orderId) {
		OrderRun next = new OrderRun(this.parts, this.context, granted, this.answer, this, agent, orderId, this.claim);
		this.order = next;
		long elapsedMs = this.parts.control().clock().millis() - this.startedAtMs;
		long timeoutMs = this.request.timeout().toMillis();
		// Kept within the whole time of the request when the clock steps.
		next.start(Math.max(1, Math.min(timeoutMs, timeoutMs - elapsedMs)));
	}

	@Override
	public void onNotRun(OrderRun notRun, NotRunReason reason) {
		Reservation granted = this.reservation;
		if (granted == null || this.answer.isClosed() || this.timedOut) {
			refuse(timeout());
			return;
		}
		// A request that may not be repeated is sent to the one agent of its claim.
		boolean mayRetry = this.request.repeatable() && reason.retryable();
		this.excluded.add(notRun.agent().incarnation());
		Optional<Member> next = (mayRetry) ? select() : Optional.empty();
		if (next.isPresent() && this.parts.retries().tryRetry(reason.label())) {
			dispatch(granted, next.get());
			return;
		}
		long retryAfterMs = (reason.retryAfterMs() > 0) ? reason.retryAfterMs() : this.parts.retryAfterMs();
		refuse(Refusal.notRun(reason.code(), "The order was not run: " + reason.label() + ".")
			.withRetryAfterMs(retryAfterMs));
	}

	/**
	 * Ends a request that was not run: frees what it holds, and tells the caller unless
	 * the answer has ended.
	 * @param refusal the refusal
	 */
	private void refuse(Refusal refusal) {
		this.order = null;
		release();
		this.answer.refuse(refusal);
	}

	private void release() {
		Reservation granted = this.reservation;
		if (granted != null) {
			this.parts.budget().release(granted.routed(), this.request.requestId());
			this.reservation = null;
		}
		HeldClaim held = this.claim;
		if (held != null) {
			Claiming.release(this.parts, held);
			this.claim = null;
		}
	}

	private void ended() {
		uncount();
		Cancellable timer = this.deadline;
		if (timer != null) {
			timer.cancel();
		}
	}

}
