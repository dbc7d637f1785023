package io.verbenacleat.standins;

/**
 * Remembers the highest fencing number, and refuses lower ones if it is told to check.
 * Safe for use by several threads.
 */
final class FencingGate {

	private final boolean refusesLower;

	private long highestToken;

	/**
	 * Creates a gate.
	 * @param refusesLower {@code false} to admit every number
	 */
	FencingGate(boolean refusesLower) {
		this.refusesLower = refusesLower;
	}

	/**
	 * Admits or refuses a number.
	 * @param header the value of the header, empty for none; a request without a number
	 * is admitted
	 * @return {@code true} when it is admitted
	 * @throws IllegalArgumentException when the value is not a number
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
	 * Reads a number.
	 * @param header the value of the header, empty for none
	 * @return the number, 0 for none
	 * @throws IllegalArgumentException when the value is not a number
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
