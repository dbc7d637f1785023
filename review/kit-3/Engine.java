package io.verbenacleat.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The places of a model server: slots, a short queue, and memory for the requests in the
 * slots. When it runs out while all slots are taken, the newest request is preempted, and
 * goes on when another one has ended. The load report tells what is so. Thread safe.
 */
final class Engine {

	static final int SLOTS = 6;

	/** A few more requests wait; others are rejected without being run. */
	static final int MAX_QUEUE = 2;

	/** A request holds this for its prompt and 4 tokens for each event. */
	private static final int PROMPT_TOKENS = 1_000;

	/** Six requests with most of their output do not fit. */
	static final int KV_TOKENS = 7_000;

	/** The memory runs out when the next request ends in about this time. */
	private static final int MIN_PAUSE_MS = 1_900;

	private static final int MAX_PAUSE_MS = 2_250;

	/** At most one of so many requests is preempted. */
	private static final int PREEMPTED_OF = 7;

	private int begun;

	private int preemptions;

	private final List<Run> running = new ArrayList<>();

	private int waiting;

	private boolean preempting;

	/** Returns {@code null} if the server is full. */
	Run enter(long workMs) throws InterruptedException {
		synchronized (this) {
			if (this.running.size() >= SLOTS && this.waiting >= MAX_QUEUE) {
				return null;
			}
			this.waiting++;
			while (this.running.size() >= SLOTS) {
				wait();
			}
			this.waiting--;
			Run run = new Run(Kit.nowMs() + workMs);
			this.begun++;
			this.running.add(run);
			return run;
		}
	}

	synchronized void leave(Run run) {
		this.running.remove(run);
		// The memory of a request that has ended is free for the preempted one.
		this.running.forEach((other) -> other.preempted = false);
		this.preempting = false;
		notifyAll();
	}

	/**
	 * Preempts the newest request that has begun its output, if all slots are taken and the
	 * next one of the others ends in about two seconds.
	 */
	synchronized void mayRunOut() {
		if (this.preempting || this.running.size() < SLOTS || this.begun < PREEMPTED_OF * (this.preemptions + 1)) {
			return;
		}
		Run newest = null;
		for (Run run : this.running) {
			newest = (run.events > 0) ? run : newest;
		}
		long nextEndMs = Long.MAX_VALUE;
		for (Run run : this.running) {
			nextEndMs = (run == newest) ? nextEndMs : Math.min(nextEndMs, run.endsAtMs - Kit.nowMs());
		}
		if (newest != null && !newest.last && nextEndMs >= MIN_PAUSE_MS && nextEndMs <= MAX_PAUSE_MS) {
			newest.preempted = true;
			this.preempting = true;
			this.preemptions++;
		}
	}

	synchronized boolean isPreempted(Run run) {
		return run.preempted;
	}

	synchronized void wrote(Run run, boolean last) {
		run.events++;
		run.last = last;
	}

	/** The load report. */
	synchronized byte[] report() throws IOException {
		int preempted = this.preempting ? 1 : 0;
		int active = this.running.size() - preempted;
		int used = this.preempting ? KV_TOKENS
				: this.running.stream().mapToInt((run) -> PROMPT_TOKENS + 4 * run.events).sum();
		return ("{\"running\":" + active + ",\"waiting\":" + (this.waiting + preempted) + ",\"kvUsed\":"
				+ Math.min(used, KV_TOKENS) + ",\"kvTotal\":" + KV_TOKENS + ",\"born\":5}")
			.getBytes();
	}

	/** A request in a slot. */
	static final class Run {

		private boolean preempted;

		private boolean last;

		private int events;

		private final long endsAtMs;

		private Run(long endsAtMs) {
			this.endsAtMs = endsAtMs;
		}

	}

}
