package io.verbenacleat.entry.request;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import io.verbenacleat.core.member.Member;
import io.verbenacleat.entry.claim.Claim;
import io.verbenacleat.entry.claim.ClaimResult;
import io.verbenacleat.entry.claim.ClaimRow;
import io.verbenacleat.entry.claim.ClaimStore;
import io.verbenacleat.entry.claim.StoredResponse;
import io.verbenacleat.entry.dispatch.OrderStatus;
import io.verbenacleat.proto.v1.OrderId;
import io.verbenacleat.proto.v1.ResolveOrderResponse;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Claims the idempotency key of one request. If the key is already claimed, decides how
 * to answer the repeated request. Confined to the control thread.
 * <p>
 * The row is read before it is written, so that a repeated request is answered even when
 * no agent accepts orders. An order that a claim names is marked as resolved only after
 * the row no longer names it as open, because until then a repeated request may query its
 * agent for the order.
 */
final class ClaimAttempt {

	private static final Logger logger = LogManager.getLogger(ClaimAttempt.class);

	private final RunnerComponents components;

	private final CallerRequest request;

	private final String key;

	private final CompletableFuture<ClaimDecision> decision = new CompletableFuture<>();

	private boolean reread;

	ClaimAttempt(RunnerComponents components, CallerRequest request, String idempotencyKey) {
		this.components = components;
		this.request = request;
		this.key = ClaimStore.key(request.key().accountId(), idempotencyKey);
	}

	/**
	 * Starts the attempt.
	 * @return the decision; never completes exceptionally
	 */
	CompletableFuture<ClaimDecision> start() {
		read();
		return this.decision;
	}

	private void read() {
		then(this.components.claims().read(this.key), this::onRead);
	}

	/**
	 * Passes the result of a step to the next one. Any failure ends in a refusal, so that
	 * the reservation is released. A claim that was written nevertheless is resolved by a
	 * repeated request.
	 * @param <T> the type of the result
	 * @param future the result
	 * @param next the next step
	 */
	private <T> void then(CompletableFuture<T> future, Consumer<T> next) {
		future.thenAccept(next).whenComplete((done, failure) -> {
			if (failure != null) {
				logger.debug("Attempt to claim {} failed", this.key, failure);
				refuse(storeUnreachableRefusal());
			}
		});
	}

	private void onRead(Optional<Claim> found) {
		if (found.isEmpty()) {
			claim(0);
			return;
		}
		Claim claim = found.get();
		if (!claim.row().fingerprint().equals(this.request.fingerprint())) {
			refuse(Refusal.notRun(RefusalCode.IDEMPOTENCY_KEY_REUSED,
					"The Idempotency-Key was used for another request."));
			return;
		}
		switch (claim.row().state()) {
			case RELEASED -> claim(claim.version());
			case DONE -> replay(claim.row().response());
			case CLAIMED -> then(this.components.resolver().query(claim.row().agent(), claim.row().orderId()),
					(status) -> onStatus(claim, status));
		}
	}

	private void onStatus(Claim claim, OrderStatus status) {
		if (status instanceof OrderStatus.NeverStarted) {
			this.components.metrics().claim("taken_over");
			claim(claim.version());
		}
		else if (status instanceof OrderStatus.Running) {
			refuse(inProgressRefusal());
		}
		else if (status instanceof OrderStatus.Ended ended) {
			onEnded(claim, ended.response());
		}
		else if (status instanceof OrderStatus.Forgotten && !this.reread) {
			// The agent discards an order once its claim is DONE, which may have happened
			// after the row was read.
			this.reread = true;
			read();
		}
		else {
			refuse(outcomeUnknownRefusal(
					"The agent of the first request with this Idempotency-Key does not know its outcome."));
		}
	}

	private void onEnded(Claim claim, ResolveOrderResponse response) {
		StoredResponse stored = ResponseCollector.resolvedResponse(response);
		// The result is not awaited, because the agent keeps the outcome until the
		// gateway of the first request has stored it.
		CompletableFuture<Boolean> written = this.components.claims().complete(this.key, claim.row(), stored);
		written.thenAccept((done) -> {
			if (done) {
				this.components.sequences().markResolved(claim.row().orderId());
			}
		});
		replay(stored);
	}

	private void replay(@Nullable StoredResponse response) {
		if (response == null) {
			refuse(outcomeUnknownRefusal(
					"The first request with this Idempotency-Key ended; its response is not stored."));
			return;
		}
		this.components.metrics().claim("replayed");
		this.decision.complete(new ClaimDecision.Replay(response.toHead(), response.toBody()));
	}

	private void claim(long version) {
		Optional<Member> agent = this.components.selector().select(WorkTargets.of(this.request), Set.of());
		if (agent.isEmpty()) {
			refuse(Refusal.notRun(RefusalCode.NO_BACKEND_SERVER, "No backend server takes this request.")
				.withRetryAfterMs(this.components.retryAfterMs()));
			return;
		}
		OrderId orderId = this.components.sequences().next(agent.get().incarnation());
		ClaimRow row = ClaimRow.claimed(this.request.requestId(), this.request.fingerprint(), orderId, agent.get());
		HeldClaim claim = new HeldClaim(this.key, version, row);
		then(this.components.claims().claim(this.key, version, row), (result) -> onClaimed(claim, result));
	}

	private void onClaimed(HeldClaim claim, ClaimResult result) {
		if (result instanceof ClaimResult.Held) {
			this.decision.complete(new ClaimDecision.Dispatch(claim));
		}
		else if (result instanceof ClaimResult.Taken taken) {
			this.components.sequences().markResolved(claim.row().orderId());
			onTaken(taken.claim());
		}
		else {
			if (result instanceof ClaimResult.Unreachable unreachable && unreachable.maybeWritten()) {
				release(this.components, claim);
			}
			else {
				this.components.sequences().markResolved(claim.row().orderId());
			}
			refuse(storeUnreachableRefusal());
		}
	}

	/**
	 * Releases the claim of an order that was not run, and marks the order as resolved
	 * once the release is stored.
	 * @param components the shared components
	 * @param claim the claim
	 */
	static void release(RunnerComponents components, HeldClaim claim) {
		components.claims().release(claim.key(), claim.versionBefore(), claim.row()).thenAccept((released) -> {
			if (released) {
				components.sequences().markResolved(claim.row().orderId());
			}
		});
	}

	private void onTaken(Claim claim) {
		ClaimRow row = claim.row();
		if (!row.fingerprint().equals(this.request.fingerprint())) {
			refuse(Refusal.notRun(RefusalCode.IDEMPOTENCY_KEY_REUSED,
					"The Idempotency-Key was used for another request."));
		}
		else if (row.state() == ClaimRow.State.DONE) {
			replay(row.response());
		}
		else if (row.state() == ClaimRow.State.RELEASED) {
			claim(claim.version());
		}
		else {
			// The order of the other request may not have reached its agent yet. A query
			// would make the agent reject it on arrival.
			refuse(inProgressRefusal());
		}
	}

	private Refusal inProgressRefusal() {
		return Refusal
			.unknown(RefusalCode.REQUEST_IN_PROGRESS, "The first request with this Idempotency-Key is in progress.")
			.withRetryAfterMs(this.components.retryAfterMs());
	}

	private static Refusal outcomeUnknownRefusal(String detail) {
		return Refusal.unknown(RefusalCode.OUTCOME_UNKNOWN, detail);
	}

	private Refusal storeUnreachableRefusal() {
		return Refusal.notRun(RefusalCode.CLAIM_STORE_UNREACHABLE, "The claim of the request could not be written.")
			.withRetryAfterMs(this.components.retryAfterMs());
	}

	private void refuse(Refusal refusal) {
		this.decision.complete(new ClaimDecision.Refuse(refusal));
	}

}
