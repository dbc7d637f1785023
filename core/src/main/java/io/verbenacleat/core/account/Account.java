package io.verbenacleat.core.account;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.jspecify.annotations.Nullable;

/**
 * The row {@code account/<id>}: a prepaid budget and the grants on it. Immutable.
 * <p>
 * The settled, held and granted tokens together never exceed the tokens that were topped
 * up; {@link #ungrantedTokens} is what is left for new grants.
 *
 * @param id the account id
 * @param workspace the workspace that the account belongs to
 * @param priority the priority of its requests, lower is more urgent
 * @param toppedUpTokens all tokens ever paid for
 * @param settledTokens tokens spent on grants that were closed
 * @param heldTokens tokens of unknown fate on grants that were closed
 * @param grants the open grants by holder incarnation
 */
public record Account(String id, String workspace, int priority, long toppedUpTokens, long settledTokens,
		long heldTokens, Map<String, Grant> grants) {

	private static final String KEY_PREFIX = "account/";

	/**
	 * Creates an account from a copy of the map.
	 */
	public Account {
		grants = (grants != null) ? Collections.unmodifiableMap(new TreeMap<>(grants)) : Map.of();
	}

	/**
	 * Returns a new account without budget.
	 * @param id the account id
	 * @param workspace the workspace
	 * @param priority the priority of its requests
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
	 * Returns the tokens that no grant covers yet.
	 * @return the tokens, zero or more in every row that the system writes
	 */
	@JsonIgnore
	public long ungrantedTokens() {
		long granted = this.grants.values().stream().mapToLong(Grant::grantedTokens).sum();
		return this.toppedUpTokens - this.settledTokens - this.heldTokens - granted;
	}

	/**
	 * Returns the tokens neither settled, nor held, nor spent on an open grant.
	 * @return the balance
	 */
	@JsonIgnore
	public long balanceTokens() {
		long used = this.grants.values().stream().mapToLong((grant) -> grant.spentTokens() + grant.heldTokens()).sum();
		return this.toppedUpTokens - this.settledTokens - this.heldTokens - used;
	}

	/**
	 * Returns the grant of a holder.
	 * @param holder the holder incarnation
	 * @return the grant, or {@code null} when the holder has none
	 */
	public @Nullable Grant grant(String holder) {
		return this.grants.get(holder);
	}

	/**
	 * Returns this account with more budget.
	 * @param tokens the tokens, more than zero
	 * @return the changed copy
	 */
	public Account plusTopUp(long tokens) {
		return new Account(this.id, this.workspace, this.priority, Math.addExact(this.toppedUpTokens, tokens),
				this.settledTokens, this.heldTokens, this.grants);
	}

	/**
	 * Returns this account with the grant of a holder set.
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
	 * Returns this account with a grant closed and its final figures added up.
	 * @param holder the holder incarnation
	 * @param spentTokens the final spent tokens of the holder on this account
	 * @param heldTokens the final held tokens of the holder on this account
	 * @return the changed copy
	 */
	public Account withClosedGrant(String holder, long spentTokens, long heldTokens) {
		Map<String, Grant> changed = new TreeMap<>(this.grants);
		changed.remove(holder);
		return new Account(this.id, this.workspace, this.priority, this.toppedUpTokens,
				this.settledTokens + spentTokens, this.heldTokens + heldTokens, changed);
	}

	/**
	 * Returns this account with held tokens settled by an operator.
	 * @param spentTokens how many of them were spent, zero to {@code heldTokens}
	 * @return the changed copy, without held tokens
	 */
	public Account withHeldSettled(long spentTokens) {
		return new Account(this.id, this.workspace, this.priority, this.toppedUpTokens,
				this.settledTokens + spentTokens, 0, this.grants);
	}

}
