package io.verbenacleat.entry.claim;

/**
 * What became of a claim. Immutable.
 */
public sealed interface ClaimResult {

	/**
	 * The claim was written: the order may be sent.
	 *
	 * @param claim the claim
	 */
	record Held(Claim claim) implements ClaimResult {
	}

	/**
	 * Another request owns the key.
	 *
	 * @param claim the claim of the other request
	 */
	record Taken(Claim claim) implements ClaimResult {
	}

	/**
	 * The table store did not say in time whether it wrote the claim: the order must not
	 * be sent.
	 *
	 * @param maybeWritten whether the claim may have been written, or may yet be
	 */
	record Unreachable(boolean maybeWritten) implements ClaimResult {
	}

}
