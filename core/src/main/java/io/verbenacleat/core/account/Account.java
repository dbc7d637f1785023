package io.verbenacleat.core.account;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.jspecify.annotations.Nullable;

/**
 * The row {@code account/<id>}: a prepaid budget and the grants that holders have on it.
 * Immutable.
 * <p>
 * The settled, held and granted tokens together never exceed the tokens that were topped
 * up; the difference, {@link #ungrantedTokens}, is available for new grants.
 *
 * @param id the account id
 * @param workspace the workspace that the account belongs to
 * @param priority the priority of its requests, 0 to 1,000; lower is more urgent
 * @param toppedUpTokens the sum of all top-ups
 * @param settledTokens tokens spent on closed grants
 * @param heldTokens tokens on closed grants that may or may not have been spent, until an
 * operator settles them
 * @param grants the open grants by holder incarnation; {@code null} in a row means none
 */
public record Account(String id, String workspace, int priority, long toppedUpTokens, long settledTokens,
		long heldTokens, Map<String, Grant> grants) {

	private static final String KEY_PREFIX = "account/";

	/**
	 * Creates an account with a copy of the map.
	 */
	public Account {
		grants = (grants != null) ? Collections.unmodifiableMap(new TreeMap<>(grants)) : Map.of();
	}

	/**
	 * Returns a new account without tokens.
	 * @param id the account id
	 * @param workspace the workspace that the account belongs to
	 * @param priority the priority of its requests, 0 to 1,000; lower is more urgent
	 * @return the account
	 */
	public static Account create(String id, String workspace, int priority) {
		return new Account(id, workspace, priority, 0, 0, 0, Map.of());
	}

	/**
	 * Returns the table key of an account.
	 * @param id the account id
	 * @return the key
	 */
	public static String key(String id) {
		return KEY_PREFIX + id;
	}

	/**
	 * Returns the tokens that are available for new grants.
	 * @return the tokens, zero or more in every row that the system writes
	 */
	@JsonIgnore
	public long ungrantedTokens() {
		long granted = this.grants.values().stream().mapToLong(Grant::grantedTokens).sum();
		return this.toppedUpTokens - this.settledTokens - this.heldTokens - granted;
	}

	/**
	 * Returns the tokens that are neither settled nor held, nor spent or held on an open
	 * grant.
	 * @return the balance, in tokens
	 */
	@JsonIgnore
	public long balanceTokens() {
		long used = this.grants.values().stream().mapToLong((grant) -> grant.spentTokens() + grant.heldTokens()).sum();
		return this.toppedUpTokens - this.settledTokens - this.heldTokens - used;
	}

	/**
	 * Returns the grant of a holder.
	 * @param holder the holder incarnation
	 * @return the grant, or {@code null} if the holder has none
	 */
	public @Nullable Grant grant(String holder) {
		return this.grants.get(holder);
	}

	/**
	 * Returns a copy of this account with a top-up added.
	 * @param tokens the tokens of the top-up, 1 or more
	 * @return the changed copy
	 * @throws ArithmeticException if the sum of all top-ups overflows
	 */
	public Account plusTopUp(long tokens) {
		return new Account(this.id, this.workspace, this.priority, Math.addExact(this.toppedUpTokens, tokens),
				this.settledTokens, this.heldTokens, this.grants);
	}

	/**
	 * Returns a copy of this account with the grant of a holder added or replaced.
	 * @param holder the holder incarnation
	 * @param grant the grant
	 * @return the changed copy
	 */
	public Account withGrant(String holder, Grant grant) {
		Map<String, Grant> changed = new TreeMap<>(this.grants);
		changed.put(holder, grant);
		return new Account(this.id, this.workspace, this.priority, this.toppedUpTokens, this.settledTokens,
				this.heldTokens, changed);
	}

	/**
	 * Returns a copy of this account without the grant of a holder, whose final figures
	 * are added to the settled and held tokens.
	 * @param holder the holder incarnation
	 * @param spentTokens the tokens spent on the grant
	 * @param heldTokens the tokens held on the grant
	 * @return the changed copy
	 */
	public Account withClosedGrant(String holder, long spentTokens, long heldTokens) {
		Map<String, Grant> changed = new TreeMap<>(this.grants);
		changed.remove(holder);
		return new Account(this.id, this.workspace, this.priority, this.toppedUpTokens,
				this.settledTokens + spentTokens, this.heldTokens + heldTokens, changed);
	}

	/**
	 * Returns a copy of this account with all held tokens settled.
	 * @param spentTokens how many of them were spent, 0 to {@code heldTokens}; the others
	 * return to the balance
	 * @return the changed copy, without held tokens
	 */
	public Account withHeldSettled(long spentTokens) {
		return new Account(this.id, this.workspace, this.priority, this.toppedUpTokens,
				this.settledTokens + spentTokens, 0, this.grants);
	}

}
