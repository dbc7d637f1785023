package io.verbenacleat.entry.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.account.Callers;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.proto.v1.ReserveRefusal;
import io.verbenacleat.proto.v1.ReserveRequest;
import io.verbenacleat.proto.v1.ReserveResponse;

/**
 * Decides reservations. A reservation that the current grant covers is granted at once;
 * any other waits for a renewal of the grant, in arrival order and until a timeout. Used
 * on the control thread only.
 */
final class Admission {

	/**
	 * The time after a failed renewal in which reservations that need a renewal are
	 * refused at once.
	 */
	private static final long UNREACHABLE_BACKOFF_MS = 500;

	private final LedgerState ledger;

	private final ControlThread control;

	private final CallerCache callers;

	private final ReceiptJournal journal;

	private final BudgetMetrics metrics;

	private final Duration timeout;

	private final GrantWriter writer;

	private long unreachableUntilMs;

	Admission(LedgerState ledger, ControlThread control, CallerCache callers, ReceiptJournal journal,
			BudgetMetrics metrics, Duration timeout, WriterFactory writers) {
		this.ledger = ledger;
		this.control = control;
		this.callers = callers;
		this.journal = journal;
		this.metrics = metrics;
		this.timeout = timeout;
		this.writer = writers.create(this);
	}

	GrantWriter writer() {
		return this.writer;
	}

	CompletableFuture<ReserveResponse> reserve(ReserveRequest request) {
		if (request.getTokens() < 0) {
			return CompletableFuture
				.failedFuture(new IllegalArgumentException("The tokens of a reservation must not be negative"));
		}
		return this.callers.find(request.getAccount()).thenCompose((lookup) -> check(request, lookup));
	}

	private CompletableFuture<ReserveResponse> check(ReserveRequest request, CallerCache.Lookup lookup) {
		Callers known = lookup.callers();
		if (this.ledger.refusesRequests() || this.ledger.closedGateways.contains(request.getGatewayIncarnation())) {
			return refuse(ReserveRefusal.HOLDER_NOT_OPEN);
		}
		if (known == null) {
			return refuse((lookup.answered()) ? ReserveRefusal.UNKNOWN_ACCOUNT : ReserveRefusal.TABLE_UNREACHABLE);
		}
		Callers.Caller caller = known.findByHash(request.getKeySha256());
		if (caller == null) {
			return refuse(ReserveRefusal.UNKNOWN_KEY);
		}
		if (caller.revokedAtMs() != null) {
			return refuse(ReserveRefusal.REVOKED_KEY);
		}
		return decide(request, Reservation.of(request, caller.callerId()));
	}

	private CompletableFuture<ReserveResponse> decide(ReserveRequest request, Reservation reservation) {
		AccountState state = this.ledger.account(request.getAccount());
		state.lastUsedAtMs = this.control.clock().millis();
		Reservation present = state.reservations.get(reservation.requestId());
		if (present != null) {
			return CompletableFuture.completedFuture(ReserveResponses.granted(this.ledger.incarnation, present, state));
		}
		for (Waiter waiter : state.waiters) {
			if (waiter.reservation.requestId().equals(reservation.requestId())) {
				return waiter.answer;
			}
		}
		if (this.ledger.billedReceipts.contains(reservation.requestId())
				|| this.ledger.releasedEarly.getIfPresent(reservation.requestId()) != null) {
			return refuse(ReserveRefusal.BUDGET_RESERVED, state);
		}
		if (this.journal.full()) {
			return refuse(ReserveRefusal.JOURNAL_FULL, state);
		}
		if (state.waiters.isEmpty() && reservation.tokens() <= state.freeTokens() && state.row != null) {
			state.reserve(reservation);
			return CompletableFuture
				.completedFuture(ReserveResponses.granted(this.ledger.incarnation, reservation, state));
		}
		if (request.getForwarded()) {
			return refuse(ReserveResponses.shortfallRefusal(this.ledger.incarnation, state, reservation.tokens()),
					state);
		}
		if (state.lastUsedAtMs < this.unreachableUntilMs && !state.writing) {
			return refuse(ReserveRefusal.TABLE_UNREACHABLE, state);
		}
		return enqueue(state, reservation);
	}

	private CompletableFuture<ReserveResponse> enqueue(AccountState state, Reservation reservation) {
		Waiter waiter = new Waiter(reservation);
		waiter.deadline = this.control.schedule(this.timeout, () -> {
			if (state.waiters.remove(waiter)) {
				refuse(waiter, ReserveRefusal.TABLE_UNREACHABLE, state);
				grantWaiting(state);
			}
		});
		state.waiters.add(waiter);
		this.writer.start(state, false);
		return waiter.answer;
	}

	/**
	 * Grants waiting reservations in arrival order, up to the first that the grant does
	 * not cover.
	 * @param state the account
	 */
	void grantWaiting(AccountState state) {
		Waiter next = state.waiters.peek();
		while (next != null && next.reservation.tokens() <= state.freeTokens() && state.row != null
				&& !this.ledger.refusesRequests()) {
			state.waiters.remove();
			grant(next, state);
			next = state.waiters.peek();
		}
	}

	/**
	 * Refuses the reservation of a request if it still waits.
	 * @param state the account
	 * @param requestId the request
	 * @return whether it was waiting
	 */
	boolean cancelWaiting(AccountState state, String requestId) {
		List<Waiter> cancelled = state.waiters.stream()
			.filter((waiter) -> waiter.reservation.requestId().equals(requestId))
			.toList();
		state.waiters.removeAll(cancelled);
		cancelled.forEach((waiter) -> refuse(waiter, ReserveRefusal.BUDGET_RESERVED, state));
		return !cancelled.isEmpty();
	}

	/**
	 * Decides waiting reservations after a write: grants those that the grant now covers,
	 * and refuses the others that the write was planned with, or all others after a
	 * failed write.
	 * @param state the account
	 * @param result the result
	 */
	void onWriteFinished(AccountState state, GrantWriter.Result result) {
		if (result == GrantWriter.Result.UNREACHABLE) {
			this.unreachableUntilMs = this.control.clock().millis() + UNREACHABLE_BACKOFF_MS;
		}
		if (this.ledger.refusesRequests()) {
			refuseAll(state, ReserveRefusal.HOLDER_NOT_OPEN);
			return;
		}
		for (Waiter waiter : new ArrayList<>(state.waiters)) {
			if (waiter.reservation.tokens() <= state.freeTokens() && state.row != null) {
				state.waiters.remove(waiter);
				grant(waiter, state);
			}
			else if (waiter.planned || result != GrantWriter.Result.DECIDED) {
				state.waiters.remove(waiter);
				refuse(waiter, refusal(state, waiter, result), state);
			}
		}
		if (!state.waiters.isEmpty()) {
			this.writer.start(state, false);
		}
	}

	void refuseAll(AccountState state, ReserveRefusal refusal) {
		List<Waiter> waiters = new ArrayList<>(state.waiters);
		state.waiters.clear();
		waiters.forEach((waiter) -> refuse(waiter, refusal, state));
	}

	private ReserveRefusal refusal(AccountState state, Waiter waiter, GrantWriter.Result result) {
		return switch (result) {
			case DECIDED ->
				ReserveResponses.shortfallRefusal(this.ledger.incarnation, state, waiter.reservation.tokens());
			case UNREACHABLE, CONTENDED -> ReserveRefusal.TABLE_UNREACHABLE;
			case NO_ACCOUNT -> ReserveRefusal.UNKNOWN_ACCOUNT;
			case NOT_OPEN -> ReserveRefusal.HOLDER_NOT_OPEN;
		};
	}

	private void grant(Waiter waiter, AccountState state) {
		state.reserve(waiter.reservation);
		waiter.complete(ReserveResponses.granted(this.ledger.incarnation, waiter.reservation, state));
	}

	private void refuse(Waiter waiter, ReserveRefusal refusal, AccountState state) {
		this.metrics.refused(refusal);
		waiter.complete(ReserveResponses.refused(this.ledger.incarnation, refusal, state));
	}

	private CompletableFuture<ReserveResponse> refuse(ReserveRefusal refusal, AccountState state) {
		this.metrics.refused(refusal);
		return CompletableFuture.completedFuture(ReserveResponses.refused(this.ledger.incarnation, refusal, state));
	}

	private CompletableFuture<ReserveResponse> refuse(ReserveRefusal refusal) {
		this.metrics.refused(refusal);
		return CompletableFuture.completedFuture(ReserveResponses.refused(this.ledger.incarnation, refusal));
	}

	/**
	 * Creates the writer that reports its results to an admission.
	 */
	@FunctionalInterface
	interface WriterFactory {

		/**
		 * Creates a writer.
		 * @param admission the receiver of the results
		 * @return the writer
		 */
		GrantWriter create(Admission admission);

	}

}
