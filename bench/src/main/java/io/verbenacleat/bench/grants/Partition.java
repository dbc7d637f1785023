package io.verbenacleat.bench.grants;

/**
 * A period in which a site cannot reach another site or the table service. Immutable.
 *
 * @param fromMs the start, in milliseconds since the start of the run
 * @param toMs the end, exclusive, in milliseconds since the start of the run
 * @param site the index of the site
 * @param other the index of the other site, or {@link #TABLE} for the table service
 */
record Partition(long fromMs, long toMs, int site, int other) {

	static final int TABLE = -1;

	/**
	 * Returns whether this partition separates two sites, in either order, at a time.
	 * @param first the index of a site
	 * @param second the index of another site, or {@link #TABLE}
	 * @param atMs the time, in milliseconds since the start of the run
	 * @return {@code true} if the sites cannot reach each other
	 */
	boolean separates(int first, int second, long atMs) {
		boolean pair = (this.site == first && this.other == second) || (this.site == second && this.other == first);
		return pair && atMs >= this.fromMs && atMs < this.toMs;
	}

}
