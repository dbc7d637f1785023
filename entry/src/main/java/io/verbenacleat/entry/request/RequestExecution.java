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
 * The execution of one request: reserves tokens, claims the idempotency key if the
 * request may not be repeated, and sends its orders. All state is confined to a
 * synchronization context of the request, whose tasks run in whichever thread submits
 * them.
 */
final class RequestExecution implements RequestRunner.RunningRequest, NotRunHandler {

	private static final Logger logger = LogManager.getLogger(RequestExecution.class);

	private final SynchronizationContext context = new SynchronizationContext(
			(thread, failure) -> logger.error("Unexpected failure while running a request", failure));

	private final RunnerComponents components;

	private final CallerRequest request;

	private final CallerResponse response;

	private final long startedAtMs;

	private final Set<String> excluded = new HashSet<>();

	private @Nullable Cancellable deadline;

	private @Nullable Reservation reservation;

	private @Nullable HeldClaim claim;

	private @Nullable OrderExecution order;

	private @Nullable String admittedWorkspace;

	private boolean timedOut;

	RequestExecution(RunnerComponents components, CallerRequest request, ResponseListener listener) {
		this.components = components;
		this.request = request;
		this.response = new CallerResponse(listener, components.metrics(), this::onResponseEnded);
		this.startedAtMs = components.control().clock().millis();
	}

	void start(String gateway) {
		this.context.execute(() -> {
			this.components.retryBudget().onRequest();
			this.deadline = this.components.control()
				.schedule(this.request.timeout(), () -> this.context.execute(this::onTimeout));
			ReserveRequest reserve = ReserveRequest.newBuilder()
				.setRequestId(this.request.requestId())
				.setGatewayIncarnation(gateway)
				.setAccount(this.request.key().accountId())
				.setKeySha256(this.request.key().sha256())
				.setTokens(this.request.reserveTokens())
				.build();
			this.components.budget()
				.reserve(reserve)
				.whenComplete((routed, failure) -> this.context.execute(() -> onReserved(routed)));
		});
	}

	@Override
	public void callerGone() {
		this.context.execute(() -> {
			this.response.close();
			releaseAdmission();
			abandonOrder(false);
		});
	}

	private void onTimeout() {
		this.timedOut = true;
		if (this.order != null) {
			abandonOrder(true);
		}
		else {
			this.response.refuse(timeoutRefusal());
		}
	}

	private void abandonOrder(boolean timeout) {
		OrderExecution running = this.order;
		if (running != null) {
			running.abandon(timeout);
		}
	}

	private static Refusal timeoutRefusal() {
		return Refusal.notRun(RefusalCode.TIMEOUT, "The time of the request ran out before it was run.");
	}

	private Refusal noBackendServerRefusal() {
		return Refusal.notRun(RefusalCode.NO_BACKEND_SERVER, "No backend server takes this request.")
			.withRetryAfterMs(this.components.retryAfterMs());
	}

	private void onReserved(@Nullable RoutedReservation routed) {
		if (routed == null) {
			refuse(ReserveRefusals.unreachable(this.components.retryAfterMs()));
			return;
		}
		if (!routed.response().getGranted()) {
			refuse(ReserveRefusals.map(routed.response(), this.components.retryAfterMs()));
			return;
		}
		Reservation granted = new Reservation(this.request, routed);
		this.reservation = granted;
		String idempotencyKey = this.request.idempotencyKey();
		Refusal overLimit = (this.response.isClosed()) ? timeoutRefusal() : admit(routed.response().getWorkspace());
		if (overLimit != null) {
			refuse(overLimit);
		}
		else if (this.request.repeatable()) {
			select().ifPresentOrElse((agent) -> dispatch(granted, agent), () -> refuse(noBackendServerRefusal()));
		}
		else if (idempotencyKey == null) {
			refuse(Refusal.notRun(RefusalCode.IDEMPOTENCY_KEY_REQUIRED,
					"A request that may not be repeated needs an Idempotency-Key."));
		}
		else {
			new ClaimAttempt(this.components, this.request, idempotencyKey).start()
				.thenAccept((decision) -> this.context.execute(() -> onClaimDecision(granted, decision)));
		}
	}

	// Limits are checked after the grant, because only the grant names the workspace and
	// only a granted key authenticates the account.
	private @Nullable Refusal admit(String workspace) {
		Refusal refusal = this.components.shareLimiter()
			.tryAdmit(this.components.limits(), this.request.key().accountId(), workspace);
		if (refusal == null) {
			this.admittedWorkspace = workspace;
		}
		return refusal;
	}

	private void releaseAdmission() {
		String workspace = this.admittedWorkspace;
		if (workspace != null) {
			this.admittedWorkspace = null;
			this.components.shareLimiter().release(this.request.key().accountId(), workspace);
		}
	}

	private void onClaimDecision(Reservation granted, ClaimDecision decision) {
		if (decision instanceof ClaimDecision.Dispatch dispatch) {
			this.claim = dispatch.claim();
			if (this.response.isClosed()) {
				refuse(timeoutRefusal());
			}
			else {
				send(granted, dispatch.claim().row().agent(), dispatch.claim().row().orderId());
			}
		}
		else if (decision instanceof ClaimDecision.Replay replay) {
			release();
			this.response.replay(replay.head(), replay.body());
		}
		else if (decision instanceof ClaimDecision.Refuse refusal) {
			refuse(refusal.refusal());
		}
	}

	private void dispatch(Reservation granted, Member agent) {
		send(granted, agent, this.components.sequences().next(agent.incarnation()));
	}

	private Optional<Member> select() {
		return this.components.selector().select(WorkTargets.of(this.request), this.request.prefix(), this.excluded);
	}

	private void send(Reservation granted, Member agent, OrderId orderId) {
		OrderExecution next = new OrderExecution(this.components, this.context, granted, this.response, this, agent,
				orderId, this.claim);
		this.order = next;
		long elapsedMs = this.components.control().clock().millis() - this.startedAtMs;
		long timeoutMs = this.request.timeout().toMillis();
		// Bounded by the whole timeout in case the clock has been set back.
		next.start(Math.max(1, Math.min(timeoutMs, timeoutMs - elapsedMs)));
	}

	@Override
	public void onNotRun(OrderExecution notRun, NotRunReason reason) {
		Reservation granted = this.reservation;
		if (granted == null || this.response.isClosed() || this.timedOut) {
			refuse(timeoutRefusal());
			return;
		}
		// A request that may not be repeated is sent only to the agent that its claim
		// names.
		boolean mayRetry = this.request.repeatable() && reason.retryable();
		this.excluded.add(notRun.agent().incarnation());
		Optional<Member> next = (mayRetry) ? select() : Optional.empty();
		if (next.isPresent() && this.components.retryBudget().tryRetry(reason.label())) {
			dispatch(granted, next.get());
			return;
		}
		long retryAfterMs = (reason.retryAfterMs() > 0) ? reason.retryAfterMs() : this.components.retryAfterMs();
		refuse(Refusal.notRun(reason.code(), "The order was not run: " + reason.label() + ".")
			.withRetryAfterMs(retryAfterMs));
	}

	/**
	 * Ends a request that was not run: releases its reservation and claim, and refuses
	 * the request unless its response has ended.
	 * @param refusal the refusal for the caller
	 */
	private void refuse(Refusal refusal) {
		this.order = null;
		release();
		this.response.refuse(refusal);
	}

	private void release() {
		Reservation granted = this.reservation;
		if (granted != null) {
			this.components.budget().release(granted.routed(), this.request.requestId());
			this.reservation = null;
		}
		HeldClaim held = this.claim;
		if (held != null) {
			ClaimAttempt.release(this.components, held);
			this.claim = null;
		}
	}

	private void onResponseEnded() {
		releaseAdmission();
		Cancellable timer = this.deadline;
		if (timer != null) {
			timer.cancel();
		}
	}

}
