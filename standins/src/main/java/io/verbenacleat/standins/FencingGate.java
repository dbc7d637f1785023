package io.verbenacleat.standins;

/**
 * Remembers the highest fencing number, and refuses lower ones if it is told to check.
 * Safe for use by several threads.
 */
final class FencingGate {

	private final boolean checks;

	private long highest;

	/**
	 * Creates a gate.
	 * @param checks {@code false} to admit every number
	 */
	FencingGate(boolean checks) {
		this.checks = checks;
	}

	/**
	 * Admits or refuses a number.
	 * @param header the value of the header, empty for none; a request without a number
	 * is admitted
	 * @return {@code true} when it is admitted
	 * @throws IllegalArgumentException when the value is not a number
	 */
	synchronized boolean admit(String header) {
		long number = number(header);
		if (this.checks && !header.isEmpty() && number < this.highest) {
			return false;
		}
		this.highest = Math.max(this.highest, number);
		return true;
	}

	/**
	 * Reads a number.
	 * @param header the value of the header, empty for none
	 * @return the number, 0 for none
	 * @throws IllegalArgumentException when the value is not a number
	 */
	static long number(String header) {
		if (header.isEmpty()) {
			return 0;
		}
		if (!header.matches("[0-9]{1,18}")) {
			throw new IllegalArgumentException("Fencing-Token: found '" + header + "', allowed is a number");
		}
		return Long.parseLong(header);
	}

}
