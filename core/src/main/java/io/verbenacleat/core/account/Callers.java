package io.verbenacleat.core.account;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * The row {@code callers/<account>}: the callers that may spend tokens of an account.
 * Immutable.
 *
 * @param callers the callers, including revoked ones; {@code null} in a row means none
 */
public record Callers(List<Caller> callers) {

	private static final String KEY_PREFIX = "callers/";

	/**
	 * Creates a row with a copy of the list.
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
	 * @param keySha256 the SHA-256 of the caller key, in lower-case hexadecimal
	 * @return the caller, which may be revoked, or {@code null} if there is none
	 */
	public @Nullable Caller findByHash(String keySha256) {
		return this.callers.stream().filter((caller) -> caller.keySha256().equals(keySha256)).findFirst().orElse(null);
	}

	/**
	 * Finds a caller by its id.
	 * @param callerId the id
	 * @return the caller, which may be revoked, or {@code null} if there is none
	 */
	public @Nullable Caller findById(String callerId) {
		return this.callers.stream().filter((caller) -> caller.callerId().equals(callerId)).findFirst().orElse(null);
	}

	/**
	 * Returns a copy of these callers with a caller added; replaces the one with the same
	 * id.
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
	 * @param keySha256 the SHA-256 of the caller key, in lower-case hexadecimal
	 * @param createdAtMs when the caller was created, in milliseconds since the epoch
	 * @param revokedAtMs when the caller was revoked, in milliseconds since the epoch, or
	 * {@code null} while its key is valid
	 */
	public record Caller(String callerId, String keySha256, long createdAtMs, @Nullable Long revokedAtMs) {
	}

}
