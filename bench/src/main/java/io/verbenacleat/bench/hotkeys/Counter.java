package io.verbenacleat.bench.hotkeys;

/**
 * The decayed count of one key, and the maximum by which it may be too high. Not safe for
 * use by several threads.
 */
final class Counter {

	final long key;

	double count;

	double error;

	/** The time to which the count and the error are decayed, in milliseconds. */
	long decayedAtMs;

	/** The index in the heap; unused in structures without a heap. */
	int position;

	/** Whether the counter has grown since it was last compared with its children. */
	boolean delayed;

	Counter(long key, double count, double error, long decayedAtMs) {
		this.key = key;
		this.count = count;
		this.error = error;
		this.decayedAtMs = decayedAtMs;
	}

	void decayTo(Decay decay, long nowMs) {
		if (nowMs != this.decayedAtMs) {
			double factor = decay.factor(nowMs - this.decayedAtMs);
			this.count *= factor;
			this.error *= factor;
			this.decayedAtMs = nowMs;
		}
	}

	void add(Decay decay, long nowMs) {
		decayTo(decay, nowMs);
		this.count++;
	}

	Counter copyAt(Decay decay, long nowMs) {
		Counter copy = new Counter(this.key, this.count, this.error, this.decayedAtMs);
		copy.decayTo(decay, nowMs);
		return copy;
	}

	/**
	 * Returns whether this counter is replaced before another one, because it has the
	 * lower count, or the same count and the larger error.
	 * @param other the other counter, decayed to the same time
	 * @return {@code true} if it belongs nearer to the root of the heap
	 */
	boolean isBefore(Counter other) {
		return this.count < other.count || (this.count == other.count && this.error > other.error);
	}

}
