package io.verbenacleat.bench.grants;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import io.verbenacleat.proto.v1.ReleaseRequest;
import io.verbenacleat.proto.v1.ReserveRefusal;
import io.verbenacleat.proto.v1.ReserveRequest;
import io.verbenacleat.proto.v1.ReserveResponse;
import org.jspecify.annotations.Nullable;

/**
 * The search of one request for a holder whose grant covers it. Follows the order and the
 * limits of {@code HolderSearch} in the entry: up to three home holders of the site, then
 * one home holder of each of up to three other sites if the first refusal is that the
 * table store cannot be reached, then up to six holders that each refusal names. Not safe
 * for use by several threads.
 */
final class LedgerSearch {

	private static final int MAX_HOME_HOLDERS = 3;

	private static final int MAX_OTHER_SITES = 3;

	private static final int MAX_ALTERNATIVES = 6;

	private final LedgerFleet fleet;

	private final int site;

	private final ReserveRequest request;

	private final Consumer<Decision> onDecision;

	private final Deque<LedgerHolder> homeHolders = new ArrayDeque<>();

	private final Deque<LedgerHolder> alternatives = new ArrayDeque<>();

	private final Set<LedgerHolder> asked = new HashSet<>();

	private @Nullable ReserveRefusal refusal;

	LedgerSearch(LedgerFleet fleet, int site, ReserveRequest request, Consumer<Decision> onDecision) {
		this.fleet = fleet;
		this.site = site;
		this.request = request;
		this.onDecision = onDecision;
	}

	void start() {
		List<LedgerHolder> ranked = this.fleet.rankedHolders(this.site, this.request.getAccount());
		this.homeHolders.addAll(ranked.subList(0, Math.min(MAX_HOME_HOLDERS, ranked.size())));
		askNext();
	}

	private void askNext() {
		boolean forwarded = this.homeHolders.isEmpty() || !needsTableStore();
		LedgerHolder holder = (forwarded) ? this.alternatives.poll() : this.homeHolders.poll();
		if (holder == null) {
			this.onDecision.accept(Decision.refused((this.refusal != null) ? this.refusal.name() : "HOLDER_NOT_OPEN"));
		}
		else if (!this.asked.add(holder) || !this.fleet.reachable(this.site, holder)) {
			askNext();
		}
		else {
			holder.ledger.reserve(this.request.toBuilder().setForwarded(forwarded).build())
				.whenComplete((response, failure) -> onResponse(holder, response));
		}
	}

	private void onResponse(LedgerHolder holder, @Nullable ReserveResponse response) {
		if (response == null || !this.fleet.reachable(this.site, holder)) {
			holder.ledger.release(ReleaseRequest.newBuilder()
				.setHolderIncarnation(holder.member.incarnation())
				.addRequestIds(this.request.getRequestId())
				.build());
			askNext();
		}
		else if (response.getGranted()) {
			this.onDecision.accept(Decision.granted(holder.member.incarnation()));
		}
		else {
			onRefusal(response);
			askNext();
		}
	}

	private void onRefusal(ReserveResponse response) {
		if (!replacesRefusal(response.getRefusal())) {
			return;
		}
		if (this.refusal == null && response.getRefusal() == ReserveRefusal.TABLE_UNREACHABLE) {
			List<LedgerHolder> atOtherSites = this.fleet.homeHoldersAtOtherSites(this.site, this.request.getAccount());
			this.homeHolders.addAll(atOtherSites.subList(0, Math.min(MAX_OTHER_SITES, atOtherSites.size())));
		}
		this.refusal = response.getRefusal();
		response.getAlternativesList()
			.stream()
			.limit(MAX_ALTERNATIVES)
			.map((grant) -> this.fleet.findHolder(grant.getHolderIncarnation()))
			.filter((found) -> found != null)
			.forEach(this.alternatives::add);
	}

	private boolean needsTableStore() {
		return this.refusal == null || this.refusal == ReserveRefusal.TABLE_UNREACHABLE;
	}

	private boolean replacesRefusal(ReserveRefusal reason) {
		boolean cannotReserve = reason == ReserveRefusal.HOLDER_NOT_OPEN || reason == ReserveRefusal.JOURNAL_FULL;
		return !cannotReserve
				&& (this.refusal == null || (needsTableStore() && reason != ReserveRefusal.TABLE_UNREACHABLE));
	}

}
