package io.verbenacleat.router.repeat;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.function.LongSupplier;

/**
 * The share of one router in the retry budget that all routers have for a service. In
 * each sliding window it allows repeats up to a ratio of the requests for the service,
 * plus a fixed number. The shares add up to the budget without messages between routers,
 * so it holds while they are cut off from each other. Not safe for use by several
 * threads, except {@link #setRouterCount}.
 */
public final class RetryBudget {

	/**
	 * Part of the ratio that is used: requests shift between windows of other routers.
	 */
	private static final double USED_RATIO = 0.8;

	private static final int SLICES = 10;

	private final double ratio;

	private final double fleetExtraRetries;

	private final int minRouters;

	private final long sliceMs;

	private final LongSupplier nowMs;

	private volatile int routerCount;

	private final Map<String, Window> windows = new HashMap<>();

	/**
	 * Creates an allowance.
	 * @param ratio the repeats for each request, of all routers
	 * @param fleetExtraRetries the repeats beyond the ratio for each window, of all routers
	 * @param minRouters the routers that share it at least, 1 or more
	 * @param windowMs the length of the window in milliseconds
	 * @param nowMs the steady time in milliseconds
	 */
	public RetryBudget(double ratio, double fleetExtraRetries, int minRouters, long windowMs, LongSupplier nowMs) {
		this.ratio = ratio * USED_RATIO;
		this.fleetExtraRetries = fleetExtraRetries;
		this.minRouters = minRouters;
		this.sliceMs = Math.max(1, windowMs / SLICES);
		this.nowMs = nowMs;
	}

	/**
	 * Takes how many routers are known; may be called on any thread.
	 * @param count the count, lost ones included
	 */
	public void setRouterCount(int count) {
		this.routerCount = count;
	}

	/**
	 * Counts a request, without its repeats.
	 * @param service the name of the service
	 */
	public void onRequest(String service) {
		window(service).current().requests++;
	}

	/**
	 * Takes one repeat out of the budget.
	 * @param service the name of the service
	 * @return {@code false} when the budget is used up
	 */
	public boolean tryAcquire(String service) {
		if (!canRetry(service)) {
			return false;
		}
		window(service).current().retries++;
		return true;
	}

	/**
	 * Returns whether the budget has a repeat left, without taking it.
	 * @param service the name of the service
	 * @return {@code false} when the budget is used up
	 */
	public boolean canRetry(String service) {
		Window window = window(service);
		window.current();
		long requests = 0;
		long retries = 0;
		for (Slice slice : window.slices) {
			requests += slice.requests;
			retries += slice.retries;
		}
		return retries + 1 <= this.ratio * requests + this.fleetExtraRetries / Math.max(this.minRouters, this.routerCount);
	}

	private Window window(String service) {
		return this.windows.computeIfAbsent(service, (any) -> new Window());
	}

	private final class Window {

		private final Queue<Slice> slices = new ArrayDeque<>();

		private Slice newest = new Slice(Long.MIN_VALUE);

		private Slice current() {
			long index = RetryBudget.this.nowMs.getAsLong() / RetryBudget.this.sliceMs;
			if (this.newest.index != index) {
				this.newest = new Slice(index);
				this.slices.add(this.newest);
			}
			// One slice more than the window, since the newest one has just begun.
			this.slices.removeIf((slice) -> slice.index < index - SLICES);
			return this.newest;
		}

	}

	private static final class Slice {

		private final long index;

		private int requests;

		private int retries;

		private Slice(long index) {
			this.index = index;
		}

	}

}
