package io.verbenacleat.entry.holder;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.entry.budget.RoutedReservation;
import io.verbenacleat.proto.v1.ReserveRefusal;
import io.verbenacleat.proto.v1.ReserveRequest;
import io.verbenacleat.proto.v1.ReserveResponse;
import org.jspecify.annotations.Nullable;

/**
 * The search of one request for a holder whose grant covers it. Holders are asked one
 * after another, so that no lock is needed.
 */
final class HolderSearch {

	/**
	 * The maximum number of home holders to ask. Several of them may be unreachable, or
	 * may not reach the table store, at the same time, such as after a rack failure.
	 */
	private static final int MAX_HOME_HOLDERS = 3;

	/** Limits the calls of a request while no site can reach the table store. */
	private static final int MAX_OTHER_SITES = 3;

	/**
	 * The maximum number of holders to take from a refusal, which lists those with the
	 * most tokens left first.
	 */
	private static final int MAX_ALTERNATIVES = 6;

	private final HolderDirectory directory;

	private final ReserveRequest request;

	private final UnansweredReservations unanswered;

	private final Deque<HolderAddress> homeHolders = new ArrayDeque<>();

	private final Deque<HolderAddress> alternatives = new ArrayDeque<>();

	private final Set<HolderAddress> asked = new HashSet<>();

	private final CompletableFuture<RoutedReservation> result = new CompletableFuture<>();

	private @Nullable RoutedReservation refusal;

	HolderSearch(HolderDirectory directory, ReserveRequest request, UnansweredReservations unanswered) {
		this.directory = directory;
		this.request = request;
		this.unanswered = unanswered;
	}

	/**
	 * Starts the search.
	 * @return the first grant, or a refusal if all holders refuse or cannot be reached;
	 * never completes exceptionally
	 */
	CompletableFuture<RoutedReservation> start() {
		List<HolderAddress> ranked = this.directory.candidates(this.request.getAccount(), this.request.getRequestId());
		this.homeHolders.addAll(ranked.subList(0, Math.min(MAX_HOME_HOLDERS, ranked.size())));
		askNext();
		return this.result;
	}

	private void askNext() {
		boolean forwarded = this.homeHolders.isEmpty() || !needsTableStore();
		HolderAddress holder = (forwarded) ? this.alternatives.poll() : this.homeHolders.poll();
		if (holder == null) {
			this.result.complete((this.refusal != null) ? this.refusal : unreachable());
			return;
		}
		if (!this.asked.add(holder)) {
			askNext();
			return;
		}
		ReserveRequest attempt = this.request.toBuilder().setForwarded(forwarded).build();
		this.directory.holder(holder.address())
			.reserve(attempt)
			.whenComplete((response, failure) -> onResponse(holder, response, failure));
	}

	private void onResponse(HolderAddress holder, @Nullable ReserveResponse response, @Nullable Throwable failure) {
		if (failure != null || response == null) {
			this.unanswered.release(holder, this.request.getRequestId());
		}
		else if (response.getGranted()) {
			this.result.complete(new RoutedReservation(holder.address(), response));
			return;
		}
		else if (replacesRefusal(response.getRefusal())) {
			if (this.refusal == null && isTableUnreachable(response.getRefusal())) {
				this.homeHolders.addAll(homeHoldersAtOtherSites());
			}
			this.refusal = new RoutedReservation(holder.address(), response);
			response.getAlternativesList()
				.stream()
				.limit(MAX_ALTERNATIVES)
				.map((grant) -> new HolderAddress(grant.getHolderIncarnation(), grant.getAddress()))
				.forEach(this.alternatives::add);
		}
		askNext();
	}

	private List<HolderAddress> homeHoldersAtOtherSites() {
		List<HolderAddress> found = this.directory.homeHoldersAtOtherSites(this.request.getAccount());
		return found.subList(0, Math.min(MAX_OTHER_SITES, found.size()));
	}

	/**
	 * Returns whether the search still needs a home holder that can reach the table
	 * store.
	 * @return {@code true} before any refusal, and while the refusal is that the table
	 * store cannot be reached
	 */
	private boolean needsTableStore() {
		return this.refusal == null || isTableUnreachable(this.refusal.response().getRefusal());
	}

	/**
	 * Returns whether a refusal replaces the previous one. A holder that cannot reach the
	 * table store has no data on the budget, so the refusal of a later holder that can
	 * replaces it.
	 * @param reason the reason of the new refusal
	 * @return whether the new refusal is reported
	 */
	private boolean replacesRefusal(ReserveRefusal reason) {
		boolean cannotReserve = reason == ReserveRefusal.HOLDER_NOT_OPEN || reason == ReserveRefusal.JOURNAL_FULL;
		return !cannotReserve && (this.refusal == null || (needsTableStore() && !isTableUnreachable(reason)));
	}

	private static boolean isTableUnreachable(ReserveRefusal reason) {
		return reason == ReserveRefusal.TABLE_UNREACHABLE;
	}

	private static RoutedReservation unreachable() {
		return new RoutedReservation("",
				ReserveResponse.newBuilder().setRefusal(ReserveRefusal.HOLDER_NOT_OPEN).build());
	}

	/**
	 * Releases reservations that a holder may have granted although its response was not
	 * received.
	 */
	@FunctionalInterface
	interface UnansweredReservations {

		/**
		 * Releases a reservation that may have been granted.
		 * @param holder the holder that did not respond
		 * @param requestId the request id
		 */
		void release(HolderAddress holder, String requestId);

	}

}
