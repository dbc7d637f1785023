package io.verbenacleat.entry.claim;

/**
 * The result of an attempt to claim an idempotency key. Immutable.
 */
public sealed interface ClaimResult {

	/**
	 * The claim was written, so the order may be sent.
	 *
	 * @param claim the written claim
	 */
	record Held(Claim claim) implements ClaimResult {
	}

	/**
	 * Another request owns the idempotency key.
	 *
	 * @param claim the claim of the other request
	 */
	record Taken(Claim claim) implements ClaimResult {
	}

	/**
	 * The table store did not confirm the claim in time, so the order must not be sent.
	 *
	 * @param maybeWritten whether the claim may have been written or may still be written
	 * later
	 */
	record Unreachable(boolean maybeWritten) implements ClaimResult {
	}

}
