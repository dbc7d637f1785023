package io.verbenacleat.entry.budget;

import java.util.Comparator;
import java.util.List;

import io.verbenacleat.core.account.Account;
import io.verbenacleat.proto.v1.HolderGrant;
import io.verbenacleat.proto.v1.ReserveRefusal;
import io.verbenacleat.proto.v1.ReserveResponse;

/**
 * Creates the responses to reservations. Safe for use by several threads.
 */
final class ReserveResponses {

	/** About the duration of a short answer, after which reserved tokens become free. */
	private static final long RETRY_AFTER_MS = 1_000;

	private ReserveResponses() {
	}

	static ReserveResponse granted(String holder, Reservation reservation, AccountState state) {
		ReserveResponse.Builder response = ReserveResponse.newBuilder()
			.setGranted(true)
			.setHolderIncarnation(holder)
			.setCallerId(reservation.callerId());
		if (state.row != null) {
			response.setWorkspace(state.row.workspace()).setPriority(state.row.priority());
		}
		return response.build();
	}

	static ReserveResponse refused(String holder, ReserveRefusal refusal, AccountState state) {
		return refusal(holder, refusal).addAllAlternatives(alternatives(holder, state)).build();
	}

	static ReserveResponse refused(String holder, ReserveRefusal refusal) {
		return refusal(holder, refusal).build();
	}

	private static ReserveResponse.Builder refusal(String holder, ReserveRefusal refusal) {
		long retryAfterMs = switch (refusal) {
			case BUDGET_RESERVED, TABLE_UNREACHABLE, HOLDER_NOT_OPEN, JOURNAL_FULL -> RETRY_AFTER_MS;
			default -> 0;
		};
		return ReserveResponse.newBuilder()
			.setRefusal(refusal)
			.setHolderIncarnation(holder)
			.setRetryAfterMs(retryAfterMs);
	}

	/**
	 * Returns the refusal of a request that the current grant and the ungranted tokens do
	 * not cover.
	 * @param holder the incarnation of this holder
	 * @param state the account
	 * @param tokens the tokens of the request
	 * @return the refusal
	 */
	static ReserveRefusal shortfallRefusal(String holder, AccountState state, long tokens) {
		Account row = state.row;
		if (tokens <= state.grantedTokens - state.usedTokens()) {
			return ReserveRefusal.BUDGET_RESERVED;
		}
		if (row == null) {
			return ReserveRefusal.TABLE_UNREACHABLE;
		}
		long othersUsedTokens = row.grants()
			.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(holder))
			.mapToLong((entry) -> entry.getValue().spentTokens() + entry.getValue().heldTokens())
			.sum();
		long balanceTokens = row.toppedUpTokens() - row.settledTokens() - row.heldTokens() - othersUsedTokens
				- state.usedTokens();
		return (tokens > balanceTokens) ? ReserveRefusal.QUOTA_EXHAUSTED : ReserveRefusal.BUDGET_RESERVED;
	}

	private static List<HolderGrant> alternatives(String holder, AccountState state) {
		if (state.row == null) {
			return List.of();
		}
		return state.row.grants()
			.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(holder) && entry.getValue().remainingTokens() > 0)
			.map((entry) -> HolderGrant.newBuilder()
				.setHolderIncarnation(entry.getKey())
				.setAddress(entry.getValue().address())
				.setRestTokens(entry.getValue().remainingTokens())
				.build())
			.sorted(Comparator.comparingLong(HolderGrant::getRestTokens).reversed())
			.toList();
	}

}
