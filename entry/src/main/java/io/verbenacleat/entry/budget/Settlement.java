package io.verbenacleat.entry.budget;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.journal.JournalReceipt;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.SettleRequest;
import io.verbenacleat.proto.v1.SettleResponse;

/**
 * Bills receipts and releases reservations, so that each request is billed once. Used on
 * the control thread only.
 */
final class Settlement {

	private final LedgerState ledger;

	private final ControlThread control;

	private final Admission admission;

	private final ReceiptJournal journal;

	private final JournalReader journalReader;

	private final BudgetMetrics metrics;

	/**
	 * Requests with a search of the journal in progress; a second search could bill them
	 * twice.
	 */
	private final Set<String> searching = new HashSet<>();

	Settlement(LedgerState ledger, ControlThread control, Admission admission, ReceiptJournal journal,
			JournalReader journalReader, BudgetMetrics metrics) {
		this.ledger = ledger;
		this.control = control;
		this.admission = admission;
		this.journal = journal;
		this.journalReader = journalReader;
		this.metrics = metrics;
	}

	CompletableFuture<SettleResponse> settle(SettleRequest request) {
		List<Receipt> unmatched = new ArrayList<>();
		if (!this.ledger.refusesReceipts()) {
			request.getReceiptsList().stream().filter(this::valid).forEach((receipt) -> settle(receipt, unmatched));
		}
		if (unmatched.isEmpty()) {
			return CompletableFuture.completedFuture(response(request, Set.of()));
		}
		return searchJournal(unmatched).thenApply((journaled) -> response(request, journaled));
	}

	private boolean valid(Receipt receipt) {
		return receipt.getHolderIncarnation().equals(this.ledger.incarnation) && receipt.getBilledTokens() >= 0
				&& receipt.getHeldTokens() >= 0;
	}

	private void settle(Receipt receipt, List<Receipt> unmatched) {
		if (this.ledger.billedReceipts.contains(receipt.getRequestId())) {
			return;
		}
		AccountState state = this.ledger.account(receipt.getAccount());
		boolean reserved = state.reservations.containsKey(receipt.getRequestId());
		if (!reserved && this.ledger.billedReceipts.evicted()) {
			if (this.searching.add(receipt.getRequestId())) {
				unmatched.add(receipt);
			}
		}
		else {
			bill(state, JournalReceipt.of(receipt));
		}
	}

	private void bill(AccountState state, JournalReceipt receipt) {
		Reservation reservation = state.release(receipt.requestId());
		this.admission.cancelWaiting(state, receipt.requestId());
		this.metrics.receipts.inc();
		if (reservation == null) {
			this.metrics.unknownReceipts.inc();
		}
		else if (receipt.billedTokens() + receipt.heldTokens() > reservation.tokens()) {
			this.metrics.overbilledReceipts.inc();
		}
		state.bill(receipt, this.control.clock().millis());
		this.ledger.billedReceipts.addPending(receipt.requestId());
		this.journal.add(receipt);
		if (state.freeTokens() < 0) {
			this.admission.writer().start(state, false);
		}
		this.admission.grantWaiting(state);
	}

	/**
	 * Bills receipts that {@link BilledReceipts} does not contain, unless the journal has
	 * them. When the journal cannot be read they are not billed, and the agent sends them
	 * again.
	 * @param unmatched the receipts
	 * @return the request ids that the journal has; never fails
	 */
	private CompletableFuture<Set<String>> searchJournal(List<Receipt> unmatched) {
		Set<String> ids = new HashSet<>();
		unmatched.forEach((receipt) -> ids.add(receipt.getRequestId()));
		Set<String> found = new HashSet<>();
		return this.journalReader.read(this.ledger.incarnation, (row) -> addMatching(row, ids, found))
			.handle((done, failure) -> {
				this.searching.removeAll(ids);
				if (failure == null) {
					unmatched.stream()
						.filter((receipt) -> !found.contains(receipt.getRequestId()))
						.forEach(this::billUnlessBilled);
				}
				return found;
			});
	}

	private static void addMatching(JournalRow row, Set<String> ids, Set<String> found) {
		row.receipts().stream().map(JournalReceipt::requestId).filter(ids::contains).forEach(found::add);
	}

	private void billUnlessBilled(Receipt receipt) {
		if (!this.ledger.billedReceipts.contains(receipt.getRequestId()) && !this.ledger.refusesReceipts()) {
			bill(this.ledger.account(receipt.getAccount()), JournalReceipt.of(receipt));
		}
	}

	private SettleResponse response(SettleRequest request, Set<String> journaled) {
		// A receipt for an earlier holder at this address is left to the closer of that
		// holder.
		boolean otherHolder = request.getReceiptsList()
			.stream()
			.anyMatch((receipt) -> !receipt.getHolderIncarnation().equals(this.ledger.incarnation));
		SettleResponse.Builder response = SettleResponse.newBuilder()
			.setHolderClosed(otherHolder || this.ledger.refusesReceipts());
		request.getReceiptsList()
			.stream()
			.map(Receipt::getRequestId)
			.filter((id) -> journaled.contains(id) || this.ledger.billedReceipts.durable(id))
			.forEach(response::addDurableRequestIds);
		return response.build();
	}

	void release(List<String> requestIds) {
		Set<String> unmatched = new HashSet<>(requestIds);
		for (AccountState state : new ArrayList<>(this.ledger.accounts.values())) {
			if (state.reservations.isEmpty() && state.waiters.isEmpty()) {
				continue;
			}
			for (String requestId : requestIds) {
				boolean waited = this.admission.cancelWaiting(state, requestId);
				if (state.release(requestId) != null || waited) {
					unmatched.remove(requestId);
				}
			}
			this.admission.grantWaiting(state);
		}
		unmatched.forEach((requestId) -> this.ledger.releasedEarly.put(requestId, Boolean.TRUE));
	}

	void markDurable(List<JournalReceipt> receipts) {
		for (JournalReceipt receipt : receipts) {
			this.ledger.account(receipt.account()).markDurable(receipt);
			this.ledger.billedReceipts.addDurable(receipt.requestId());
		}
	}

	void closeGateway(String gateway, Set<String> executedRequestIds, Predicate<String> mayHaveRun) {
		this.ledger.closedGateways.add(gateway);
		for (AccountState state : new ArrayList<>(this.ledger.accounts.values())) {
			List<Reservation> unexecuted = state.reservations.values()
				.stream()
				.filter((reservation) -> reservation.gateway().equals(gateway)
						&& !executedRequestIds.contains(reservation.requestId()))
				.toList();
			List<String> waitingRequestIds = state.waiters.stream()
				.filter((waiter) -> waiter.reservation.gateway().equals(gateway))
				.map((waiter) -> waiter.reservation.requestId())
				.toList();
			waitingRequestIds.forEach((requestId) -> this.admission.cancelWaiting(state, requestId));
			unexecuted
				.forEach((reservation) -> endReservation(state, reservation, mayHaveRun.test(reservation.requestId())));
			this.admission.grantWaiting(state);
		}
	}

	private void endReservation(AccountState state, Reservation reservation, boolean held) {
		if (held) {
			bill(state, takenOver(reservation));
		}
		else {
			state.release(reservation.requestId());
		}
	}

	private JournalReceipt takenOver(Reservation reservation) {
		long nowMs = this.control.clock().millis();
		return new JournalReceipt(reservation.requestId(), reservation.account(), reservation.callerId(),
				this.ledger.incarnation, "", "", "", 0, 0, 0, reservation.tokens(), ReceiptStatus.TAKEN_OVER.name(),
				nowMs, nowMs);
	}

}
