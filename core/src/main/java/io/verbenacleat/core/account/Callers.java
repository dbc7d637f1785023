package io.verbenacleat.core.account;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * The row {@code callers/<account>}: who may draw on an account. Immutable.
 *
 * @param callers the callers, revoked ones included
 */
public record Callers(List<Caller> callers) {

	private static final String KEY_PREFIX = "callers/";

	/**
	 * Creates a row from a copy of the list.
	 */
	public Callers {
		callers = (callers != null) ? List.copyOf(callers) : List.of();
	}

	/**
	 * Returns the table key of the callers of an account.
	 * @param accountId the account id
	 * @return the key
	 */
	public static String key(String accountId) {
		return KEY_PREFIX + accountId;
	}

	/**
	 * Finds a caller by the hash of its key.
	 * @param keySha256 the SHA-256 of the caller key, lower-case hex
	 * @return the caller, or {@code null} when there is none
	 */
	public @Nullable Caller findByHash(String keySha256) {
		return this.callers.stream().filter((caller) -> caller.keySha256().equals(keySha256)).findFirst().orElse(null);
	}

	/**
	 * Finds a caller by its id.
	 * @param callerId the id
	 * @return the caller, or {@code null} when there is none
	 */
	public @Nullable Caller findById(String callerId) {
		return this.callers.stream().filter((caller) -> caller.callerId().equals(callerId)).findFirst().orElse(null);
	}

	/**
	 * Returns these callers with one added, or replaced when its id is known.
	 * @param caller the caller
	 * @return the changed copy
	 */
	public Callers with(Caller caller) {
		List<Caller> changed = new ArrayList<>(this.callers);
		changed.removeIf((existing) -> existing.callerId().equals(caller.callerId()));
		changed.add(caller);
		return new Callers(changed);
	}

	/**
	 * One caller. Immutable.
	 *
	 * @param callerId the id, unique within the account
	 * @param keySha256 the SHA-256 of the caller key, lower-case hex
	 * @param createdAtMs when it was created, in milliseconds since the epoch
	 * @param revokedAtMs when it was revoked, or {@code null} while it is valid
	 */
	public record Caller(String callerId, String keySha256, long createdAtMs, @Nullable Long revokedAtMs) {
	}

}
