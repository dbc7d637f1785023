package io.verbenacleat.entry.budget;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

import io.verbenacleat.core.account.Account;
import io.verbenacleat.core.account.Grant;
import io.verbenacleat.core.journal.JournalReceipt;
import org.jspecify.annotations.Nullable;

/**
 * The grant, reservations and totals of one account at this holder. Used on the control
 * thread only.
 * <p>
 * {@code spent}, {@code held} and their durable counterparts are totals over the life of
 * the holder; the base values are the part that was added to the account row when an
 * earlier grant entry was removed.
 */
final class AccountState {

	final String id;

	final Map<String, Reservation> reservations = new LinkedHashMap<>();

	final Deque<Waiter> waiters = new ArrayDeque<>();

	final SpendingRate rate = new SpendingRate();

	@Nullable
	Account row;

	boolean writing;

	long lastUsedAtMs;

	long grantedTokens;

	long sequence;

	private long reservedTokens;

	private long spentTokens;

	private long heldTokens;

	private long durableSpentTokens;

	private long durableHeldTokens;

	private long spentBaseTokens;

	private long heldBaseTokens;

	AccountState(String id) {
		this.id = id;
	}

	long reservedTokens() {
		return this.reservedTokens;
	}

	/**
	 * Returns the tokens spent or held on the current grant entry.
	 * @return the tokens
	 */
	long usedTokens() {
		return this.spentTokens - this.spentBaseTokens + this.heldTokens - this.heldBaseTokens;
	}

	long freeTokens() {
		return this.grantedTokens - usedTokens() - this.reservedTokens;
	}

	void reserve(Reservation reservation) {
		this.reservations.put(reservation.requestId(), reservation);
		this.reservedTokens += reservation.tokens();
	}

	@Nullable
	Reservation release(String requestId) {
		Reservation reservation = this.reservations.remove(requestId);
		if (reservation != null) {
			this.reservedTokens -= reservation.tokens();
		}
		return reservation;
	}

	void bill(JournalReceipt receipt, long nowMs) {
		this.spentTokens += receipt.billedTokens();
		this.heldTokens += receipt.heldTokens();
		this.rate.add(receipt.billedTokens(), nowMs);
	}

	void markDurable(JournalReceipt receipt) {
		this.durableSpentTokens += receipt.billedTokens();
		this.durableHeldTokens += receipt.heldTokens();
	}

	/**
	 * Returns whether the grant entry can be removed: nothing is reserved or waiting, all
	 * receipts are durable, and the grant covers the used tokens.
	 * @return {@code true} when it can be removed
	 */
	boolean removable() {
		return this.reservations.isEmpty() && this.waiters.isEmpty() && this.spentTokens == this.durableSpentTokens
				&& this.heldTokens == this.durableHeldTokens && usedTokens() <= this.grantedTokens;
	}

	/**
	 * Returns whether nothing was ever spent or held, and nothing is granted. Only then
	 * can the state be dropped, since its totals count over the life of the holder.
	 * @return {@code true} when it can be dropped
	 */
	boolean discardable() {
		return !this.writing && this.grantedTokens == 0 && this.spentTokens == 0 && this.heldTokens == 0 && removable();
	}

	/**
	 * Returns whether the durable totals are ahead of those in the last known row.
	 * @param holder the incarnation of this holder
	 * @return {@code true} when other holders see old totals
	 */
	boolean isRowOutdated(String holder) {
		Grant written = (this.row != null) ? this.row.grant(holder) : null;
		if (written == null) {
			return false;
		}
		Grant present = grant(written.address(), written.grantedTokens());
		return written.spentTokens() != present.spentTokens() || written.heldTokens() != present.heldTokens();
	}

	Grant grant(String address, long newGrantedTokens) {
		long spent = Math.min(newGrantedTokens, this.durableSpentTokens - this.spentBaseTokens);
		long held = Math.min(newGrantedTokens - spent, this.durableHeldTokens - this.heldBaseTokens);
		return new Grant(address, newGrantedTokens, spent, held, this.sequence, this.spentBaseTokens,
				this.heldBaseTokens);
	}

	/**
	 * Returns an account row with the grant entry of this holder removed and its totals
	 * added to the account.
	 * @param account the row
	 * @param holder the incarnation of this holder
	 * @return the changed copy
	 */
	Account withoutGrant(Account account, String holder) {
		return account.withClosedGrant(holder, this.spentTokens - this.spentBaseTokens,
				this.heldTokens - this.heldBaseTokens);
	}

	/**
	 * Applies a removal that was written: the account row now has the totals up to the
	 * removal, and the next grant entry starts from them.
	 * @param removal the totals when the removal was planned
	 */
	void applyRemoval(Removal removal) {
		this.grantedTokens = 0;
		this.spentBaseTokens = removal.spentTokens();
		this.heldBaseTokens = removal.heldTokens();
	}

	Removal removal() {
		return new Removal(this.spentTokens, this.heldTokens);
	}

	/**
	 * The totals over the life of the holder when its grant entry is removed. Immutable.
	 *
	 * @param spentTokens the spent tokens
	 * @param heldTokens the held tokens
	 */
	record Removal(long spentTokens, long heldTokens) {
	}

}
