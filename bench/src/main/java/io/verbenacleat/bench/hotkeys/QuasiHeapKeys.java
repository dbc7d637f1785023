package io.verbenacleat.bench.hotkeys;

/**
 * Space Saving with a quasi-heap, after S. Wu et al., "Finding Frequent Items in Time
 * Decayed Data Streams". Not safe for use by several threads.
 * <p>
 * An update of an existing counter only marks it as delayed. A counter that is not
 * delayed is the minimum of its subtree. Delayed ones are sorted from the root when the
 * minimum is needed. One step differs from the paper: a new counter that is sifted up
 * past a delayed one becomes delayed too. Otherwise it would be an unmarked parent of a
 * counter that decay has made lower, and a key that is not the minimum would be replaced.
 */
final class QuasiHeapKeys extends SpaceSaving {

	QuasiHeapKeys(Decay decay, int capacity) {
		super(decay, capacity);
	}

	@Override
	void onIncrement(Counter counter, long nowMs) {
		counter.delayed = true;
	}

	@Override
	Counter minimum(long nowMs) {
		sort(0, nowMs);
		return this.heap[0];
	}

	/**
	 * Makes the counter at a position the minimum of its subtree.
	 * @param position the position
	 * @param nowMs the time, in milliseconds
	 */
	private void sort(int position, long nowMs) {
		Counter counter = this.heap[position];
		counter.decayTo(this.decay, nowMs);
		int first = 2 * position + 1;
		if (!counter.delayed || first >= this.size) {
			return;
		}
		sort(first, nowMs);
		Counter lower = this.heap[first];
		if (first + 1 < this.size) {
			sort(first + 1, nowMs);
			Counter right = this.heap[first + 1];
			lower = (right.isBefore(lower)) ? right : lower;
		}
		counter.delayed = false;
		if (lower.isBefore(counter)) {
			swap(counter, lower);
			lower.delayed = false;
			counter.delayed = true;
		}
	}

}
