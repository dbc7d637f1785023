package io.verbenacleat.standins;

/**
 * Tracks the highest fencing token that was seen and, if enabled, refuses lower ones.
 * Safe for use by several threads.
 */
final class FencingGate {

	private final boolean refusesLower;

	private long highestToken;

	/**
	 * Creates a gate.
	 * @param refusesLower {@code true} to refuse tokens lower than the highest seen,
	 * {@code false} to admit all
	 */
	FencingGate(boolean refusesLower) {
		this.refusesLower = refusesLower;
	}

	/**
	 * Decides whether a request is admitted, and records its token if so.
	 * @param header the value of the header, empty when absent; a request without a token
	 * is admitted
	 * @return {@code true} to admit the request
	 * @throws IllegalArgumentException when the value is not a number of 1 to 18 digits
	 */
	synchronized boolean admit(String header) {
		long token = parseToken(header);
		if (this.refusesLower && !header.isEmpty() && token < this.highestToken) {
			return false;
		}
		this.highestToken = Math.max(this.highestToken, token);
		return true;
	}

	/**
	 * Parses a fencing token.
	 * @param header the value of the header, empty when absent
	 * @return the token, 0 when the header is absent
	 * @throws IllegalArgumentException when the value is not a number of 1 to 18 digits
	 */
	static long parseToken(String header) {
		if (header.isEmpty()) {
			return 0;
		}
		if (!header.matches("[0-9]{1,18}")) {
			throw new IllegalArgumentException("Fencing-Token: found '" + header + "', allowed is a number");
		}
		return Long.parseLong(header);
	}

}
