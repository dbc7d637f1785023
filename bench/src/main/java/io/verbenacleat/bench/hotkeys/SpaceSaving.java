package io.verbenacleat.bench.hotkeys;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Base class of the Space Saving algorithm. It has a fixed number of counters in a binary
 * heap with the minimum at the root. A key without a counter replaces the minimum, whose
 * count becomes the error of the new counter. Not safe for use by several threads.
 */
abstract class SpaceSaving implements FrequentKeys {

	final Decay decay;

	final Counter[] heap;

	int size;

	private final Map<Long, Counter> counters;

	SpaceSaving(Decay decay, int capacity) {
		this.decay = decay;
		this.heap = new Counter[capacity];
		this.counters = new HashMap<>(2 * capacity);
	}

	@Override
	public final void add(long key, long nowMs) {
		Counter counter = this.counters.get(key);
		if (counter != null) {
			counter.add(this.decay, nowMs);
			onIncrement(counter, nowMs);
		}
		else if (this.size < this.heap.length) {
			Counter added = new Counter(key, 1, 0, nowMs);
			this.counters.put(key, added);
			place(added, this.size++);
			siftUp(added, nowMs);
		}
		else {
			replaceMinimum(key, nowMs);
		}
	}

	private void replaceMinimum(long key, long nowMs) {
		Counter minimum = minimum(nowMs);
		this.counters.remove(minimum.key);
		Counter added = new Counter(key, minimum.count + 1, minimum.count, nowMs);
		this.counters.put(key, added);
		place(added, 0);
		onIncrement(added, nowMs);
	}

	/**
	 * Handles an increased count in the heap, either at once or when the minimum is
	 * needed.
	 * @param counter the counter, decayed to the given time
	 * @param nowMs the time, in milliseconds
	 */
	abstract void onIncrement(Counter counter, long nowMs);

	/**
	 * Returns the counter with the lowest count. Called only with at least one counter.
	 * @param nowMs the time, in milliseconds
	 * @return the root of the heap, decayed to the given time
	 */
	abstract Counter minimum(long nowMs);

	/**
	 * Moves a new counter up to its position.
	 * @param counter the counter, decayed to the given time
	 * @param nowMs the time, in milliseconds
	 */
	private void siftUp(Counter counter, long nowMs) {
		while (counter.position > 0) {
			Counter parent = this.heap[(counter.position - 1) / 2];
			parent.decayTo(this.decay, nowMs);
			if (!counter.isBefore(parent)) {
				return;
			}
			// The other child of a delayed parent may be lower than the new counter.
			counter.delayed |= parent.delayed;
			swap(parent, counter);
		}
	}

	final void swap(Counter parent, Counter child) {
		int position = parent.position;
		place(parent, child.position);
		place(child, position);
	}

	private void place(Counter counter, int position) {
		this.heap[position] = counter;
		counter.position = position;
	}

	@Override
	public final Collection<Counter> counters() {
		return Arrays.asList(this.heap).subList(0, this.size);
	}

}
