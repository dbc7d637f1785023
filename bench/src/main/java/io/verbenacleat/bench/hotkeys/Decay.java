package io.verbenacleat.bench.hotkeys;

/**
 * Exponential decay of counts. Immutable.
 *
 * @param halfLifeMs the time in which a count decays to half, in milliseconds
 */
record Decay(double halfLifeMs) {

	/**
	 * Returns the factor by which a count decays.
	 * @param elapsedMs the elapsed time, in milliseconds, 0 or more
	 * @return the factor, 0 to 1
	 */
	double factor(long elapsedMs) {
		return (elapsedMs == 0) ? 1 : Math.exp(-elapsedMs * Math.log(2) / this.halfLifeMs);
	}

}
