package io.verbenacleat.router.repeat;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.function.LongSupplier;

/**
 * The share of this router in the retry budget that the fleet has for each service. In
 * each sliding window it allows retries up to a ratio of the requests to the service,
 * plus an equal share of a fixed number of extra retries once it knows the number of
 * routers. The shares of all routers add up to the budget without communication between
 * routers, so the budget is also enforced during a network partition. Not safe for use by
 * several threads, except {@link #setRouterCount}.
 */
public final class RetryBudget {

	/**
	 * Fraction of the ratio that is used. The rest is a reserve, because the windows of
	 * the routers are not aligned and requests shift between them.
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
	 * Creates a budget.
	 * @param ratio the maximum ratio of retries to requests
	 * @param fleetExtraRetries the retries of all routers in each window in addition to
	 * the ratio
	 * @param minRouters the minimum number of routers that share the extra retries, 1 or
	 * more
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
	 * Sets the number of known routers. May be called on any thread.
	 * @param count the count, which includes routers that are unreachable
	 */
	public void setRouterCount(int count) {
		this.routerCount = count;
	}

	/**
	 * Counts a request. Must not be called for its retries.
	 * @param service the name of the service
	 */
	public void onRequest(String service) {
		window(service).current().requests++;
	}

	/**
	 * Takes one retry from the budget, if there is one left.
	 * @param service the name of the service
	 * @return {@code false} if the budget is exhausted
	 */
	public boolean tryAcquire(String service) {
		if (!canRetry(service)) {
			return false;
		}
		window(service).current().retries++;
		return true;
	}

	/**
	 * Returns whether the budget has a retry left, without taking it.
	 * @param service the name of the service
	 * @return {@code false} if the budget is exhausted
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
		return retries + 1 <= this.ratio * requests + extraRetries();
	}

	// A router that does not know the fleet would exceed the share of a large one.
	private double extraRetries() {
		int count = this.routerCount;
		return (count > 0) ? this.fleetExtraRetries / Math.max(this.minRouters, count) : 0;
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
			// Keeps one slice more than the window, because the newest slice is
			// incomplete.
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
