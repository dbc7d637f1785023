package io.verbenacleat.bench.hotkeys;

import org.jspecify.annotations.Nullable;

/**
 * Space Saving with an ordinary heap whose order is restored at each update. Not safe for
 * use by several threads.
 */
final class HeapKeys extends SpaceSaving {

	HeapKeys(Decay decay, int capacity) {
		super(decay, capacity);
	}

	@Override
	void onIncrement(Counter counter, long nowMs) {
		Counter lower = lowerChild(counter, nowMs);
		while (lower != null && lower.isBefore(counter)) {
			swap(counter, lower);
			lower = lowerChild(counter, nowMs);
		}
	}

	private @Nullable Counter lowerChild(Counter counter, long nowMs) {
		int first = 2 * counter.position + 1;
		if (first >= this.size) {
			return null;
		}
		Counter left = this.heap[first];
		left.decayTo(this.decay, nowMs);
		if (first + 1 >= this.size) {
			return left;
		}
		Counter right = this.heap[first + 1];
		right.decayTo(this.decay, nowMs);
		return (right.isBefore(left)) ? right : left;
	}

	@Override
	Counter minimum(long nowMs) {
		this.heap[0].decayTo(this.decay, nowMs);
		return this.heap[0];
	}

}
