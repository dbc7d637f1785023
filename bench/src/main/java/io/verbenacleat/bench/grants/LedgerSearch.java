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
 * The search of one request for a holder, with the order and the limits of the search in
 * the entry: up to three home holders, then up to six that the first refusal names. The
 * variant of the search that may renew elsewhere asks these holders, and then the home
 * holders of other sites, to renew when the home holder cannot reach the table service.
 * Used by one thread.
 */
final class LedgerSearch {

	private static final int MAX_HOME_HOLDERS = 3;

	private static final int MAX_ALTERNATIVES = 6;

	private final LedgerFleet fleet;

	private final int site;

	private final ReserveRequest request;

	private final Consumer<Decision> answer;

	private final boolean renewsElsewhere;

	private final Deque<LedgerHolder> homes = new ArrayDeque<>();

	private final Deque<LedgerHolder> alternatives = new ArrayDeque<>();

	private final Set<LedgerHolder> asked = new HashSet<>();

	private @Nullable ReserveRefusal refusal;

	LedgerSearch(LedgerFleet fleet, int site, ReserveRequest request, Consumer<Decision> answer,
			boolean renewsElsewhere) {
		this.fleet = fleet;
		this.site = site;
		this.request = request;
		this.answer = answer;
		this.renewsElsewhere = renewsElsewhere;
	}

	void start() {
		List<LedgerHolder> ranked = this.fleet.ranked(this.site, this.request.getAccount());
		this.homes.addAll(ranked.subList(0, Math.min(MAX_HOME_HOLDERS, ranked.size())));
		askNext();
	}

	private void askNext() {
		boolean forwarded = this.refusal != null;
		LedgerHolder holder = (forwarded) ? this.alternatives.poll() : this.homes.poll();
		if (holder == null) {
			this.answer.accept(Decision.refused((this.refusal != null) ? this.refusal.name() : "HOLDER_NOT_OPEN"));
		}
		else if (!this.asked.add(holder) || !this.fleet.reachable(this.site, holder)) {
			askNext();
		}
		else {
			boolean renews = this.renewsElsewhere && this.refusal == ReserveRefusal.TABLE_UNREACHABLE;
			holder.ledger.reserve(this.request.toBuilder().setForwarded(forwarded && !renews).build())
				.whenComplete((response, failure) -> answered(holder, response));
		}
	}

	private void answered(LedgerHolder holder, @Nullable ReserveResponse response) {
		if (response == null || !this.fleet.reachable(this.site, holder)) {
			holder.ledger.release(ReleaseRequest.newBuilder()
				.setHolderIncarnation(holder.member.incarnation())
				.addRequestIds(this.request.getRequestId())
				.build());
			askNext();
		}
		else if (response.getGranted()) {
			this.answer.accept(Decision.granted(holder.member.incarnation()));
		}
		else {
			take(response);
			askNext();
		}
	}

	private void take(ReserveResponse response) {
		if (this.refusal == null && response.getRefusal() != ReserveRefusal.HOLDER_NOT_OPEN
				&& response.getRefusal() != ReserveRefusal.JOURNAL_FULL) {
			this.refusal = response.getRefusal();
			response.getAlternativesList()
				.stream()
				.limit(MAX_ALTERNATIVES)
				.map((grant) -> this.fleet.find(grant.getHolderIncarnation()))
				.filter((found) -> found != null)
				.forEach(this.alternatives::add);
			if (this.renewsElsewhere && this.refusal == ReserveRefusal.TABLE_UNREACHABLE) {
				this.alternatives.addAll(this.fleet.otherHomes(this.site, this.request.getAccount()));
			}
		}
	}

}
