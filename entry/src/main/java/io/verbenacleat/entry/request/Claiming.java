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
import io.verbenacleat.entry.dispatch.OrderFate;
import io.verbenacleat.proto.v1.OrderId;
import io.verbenacleat.proto.v1.ResolveOrderResponse;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Claims the Idempotency-Key of one request, or decides how to answer a repeat. Runs on
 * the control thread.
 * <p>
 * The row is read before it is written, so that a repeat is answered even when no agent
 * takes orders. An order that a claim names is marked as resolved only after the row
 * names it as open no more: until then a repeat may ask its agent for it.
 */
final class Claiming {

	private static final Logger logger = LogManager.getLogger(Claiming.class);

	private final RunnerParts parts;

	private final CallerRequest request;

	private final String key;

	private final CompletableFuture<ClaimDecision> decision = new CompletableFuture<>();

	private boolean readAgain;

	Claiming(RunnerParts parts, CallerRequest request, String idempotencyKey) {
		this.parts = parts;
		this.request = request;
		this.key = ClaimStore.key(request.key().accountId(), idempotencyKey);
	}

	/**
	 * Starts.
	 * @return the decision; never fails
	 */
	CompletableFuture<ClaimDecision> start() {
		read();
		return this.decision;
	}

	private void read() {
		then(this.parts.claims().read(this.key), this::onRead);
	}

	/**
	 * Goes on with a result. Any failure ends in a refusal, so that the reservation is
	 * freed; a claim that stands alone is resolved by a repeat.
	 * @param <T> the type of the result
	 * @param future the result
	 * @param next takes the result
	 */
	private <T> void then(CompletableFuture<T> future, Consumer<T> next) {
		future.thenAccept(next).whenComplete((done, failure) -> {
			if (failure != null) {
				logger.debug("The claim {} failed", this.key, failure);
				refuse(storeUnreachable());
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
			case CLAIMED -> then(this.parts.resolver().ask(claim.row().agent(), claim.row().orderId()),
					(fate) -> onFate(claim, fate));
		}
	}

	private void onFate(Claim claim, OrderFate fate) {
		if (fate instanceof OrderFate.NeverStarted) {
			this.parts.metrics().claim("taken_over");
			claim(claim.version());
		}
		else if (fate instanceof OrderFate.Running) {
			refuse(inProgress());
		}
		else if (fate instanceof OrderFate.Ended ended) {
			onEnded(claim, ended.response());
		}
		else if (fate instanceof OrderFate.Forgotten && !this.readAgain) {
			// The agent forgets an order after its claim is DONE, perhaps since the read.
			this.readAgain = true;
			read();
		}
		else {
			refuse(outcomeUnknown(
					"The agent of the first request with this Idempotency-Key does not know its outcome."));
		}
	}

	private void onEnded(Claim claim, ResolveOrderResponse response) {
		StoredResponse stored = ResponseCollector.kept(response);
		// The result is not awaited: the agent keeps the outcome until the gateway of the
		// first request has stored it.
		CompletableFuture<Boolean> written = this.parts.claims().complete(this.key, claim.row(), stored);
		written.thenAccept((done) -> {
			if (done) {
				this.parts.sequences().resolved(claim.row().orderId());
			}
		});
		replay(stored);
	}

	private void replay(@Nullable StoredResponse response) {
		if (response == null) {
			refuse(outcomeUnknown("The first request with this Idempotency-Key ended; its response is not stored."));
			return;
		}
		this.parts.metrics().claim("replayed");
		this.decision.complete(new ClaimDecision.Replay(response.toHead(), response.toBody()));
	}

	private void claim(long version) {
		Optional<Member> agent = this.parts.selector().select(WorkTargets.of(this.request), Set.of());
		if (agent.isEmpty()) {
			refuse(Refusal.notRun(RefusalCode.NO_BACKEND_SERVER, "No backend server takes this request.")
				.withRetryAfterMs(this.parts.retryAfterMs()));
			return;
		}
		OrderId orderId = this.parts.sequences().next(agent.get().incarnation());
		ClaimRow row = ClaimRow.claimed(this.request.requestId(), this.request.fingerprint(), orderId, agent.get());
		HeldClaim claim = new HeldClaim(this.key, version, row);
		then(this.parts.claims().claim(this.key, version, row), (result) -> onClaimed(claim, result));
	}

	private void onClaimed(HeldClaim claim, ClaimResult result) {
		if (result instanceof ClaimResult.Held) {
			this.decision.complete(new ClaimDecision.Dispatch(claim));
		}
		else if (result instanceof ClaimResult.Taken taken) {
			this.parts.sequences().resolved(claim.row().orderId());
			onTaken(taken.claim());
		}
		else {
			if (result instanceof ClaimResult.Unreachable unreachable && unreachable.maybeWritten()) {
				release(this.parts, claim);
			}
			else {
				this.parts.sequences().resolved(claim.row().orderId());
			}
			refuse(storeUnreachable());
		}
	}

	/**
	 * Gives a claim up whose order was not run; only then is the order resolved.
	 * @param parts the shared parts
	 * @param claim the claim
	 */
	static void release(RunnerParts parts, HeldClaim claim) {
		parts.claims().release(claim.key(), claim.versionBefore(), claim.row()).thenAccept((released) -> {
			if (released) {
				parts.sequences().resolved(claim.row().orderId());
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
			// The order of the other request may be on its way; to ask for it now would
			// stop it.
			refuse(inProgress());
		}
	}

	private Refusal inProgress() {
		return Refusal
			.unknown(RefusalCode.REQUEST_IN_PROGRESS, "The first request with this Idempotency-Key is in progress.")
			.withRetryAfterMs(this.parts.retryAfterMs());
	}

	private static Refusal outcomeUnknown(String detail) {
		return Refusal.unknown(RefusalCode.OUTCOME_UNKNOWN, detail);
	}

	private Refusal storeUnreachable() {
		return Refusal.notRun(RefusalCode.CLAIM_STORE_UNREACHABLE, "The claim of the request could not be written.")
			.withRetryAfterMs(this.parts.retryAfterMs());
	}

	private void refuse(Refusal refusal) {
		this.decision.complete(new ClaimDecision.Refuse(refusal));
	}

}
