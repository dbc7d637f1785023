package io.verbenacleat.bench.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

import io.verbenacleat.entry.routing.PrefixKey;

/**
 * A model engine in virtual time. It works in steps: each step adds one token to each
 * running answer and processes up to a chunk of the prompts that wait, and takes longer
 * the more of both there is. Not safe for use by several threads.
 */
final class FakeEngine {

	/** A step without any work; with 128 answers a step takes 44 ms plus the prompts. */
	static final double STEP_US = 12_000;

	static final double ANSWER_US = 250;

	static final double PROMPT_TOKEN_US = 50;

	static final int MAX_BATCH = 128;

	private static final int CHUNK_TOKENS = 512;

	private final VirtualTime time;

	private final double slowness;

	private final PrefixCache cache;

	private final Deque<Job> waiting = new ArrayDeque<>();

	private final Deque<Job> prefilling = new ArrayDeque<>();

	private List<Job> answering = new ArrayList<>();

	private boolean stepping;

	private boolean gone;

	FakeEngine(VirtualTime time, double slowness, PrefixCache cache) {
		this.time = time;
		this.slowness = slowness;
		this.cache = cache;
	}

	int inProgress() {
		return this.waiting.size() + this.prefilling.size() + this.answering.size();
	}

	boolean isGone() {
		return this.gone;
	}

	/**
	 * Takes a request.
	 * @param request the request
	 * @param listener takes its events
	 */
	void submit(PromptRequest request, Listener listener) {
		this.waiting.add(new Job(request, listener));
		if (!this.stepping) {
			this.stepping = true;
			step();
		}
	}

	/**
	 * Ends the engine; all its requests break.
	 */
	void die() {
		this.gone = true;
		List<Job> lost = new ArrayList<>(this.waiting);
		lost.addAll(this.prefilling);
		lost.addAll(this.answering);
		this.waiting.clear();
		this.prefilling.clear();
		this.answering.clear();
		lost.forEach((job) -> job.listener.broken());
	}

	private void step() {
		admit();
		if (this.prefilling.isEmpty() && this.answering.isEmpty()) {
			this.stepping = false;
			return;
		}
		int chunk = 0;
		List<Job> prefilled = new ArrayList<>();
		while (chunk < CHUNK_TOKENS && !this.prefilling.isEmpty()) {
			Job job = this.prefilling.peek();
			int part = Math.min(CHUNK_TOKENS - chunk, job.promptLeft);
			job.promptLeft -= part;
			chunk += part;
			if (job.promptLeft == 0) {
				prefilled.add(this.prefilling.remove());
			}
		}
		long durationUs = (long) ((STEP_US + ANSWER_US * this.answering.size() + PROMPT_TOKEN_US * chunk)
				* this.slowness);
		this.time.after(durationUs, () -> endStep(prefilled));
	}

	private void admit() {
		while (!this.waiting.isEmpty() && this.prefilling.size() + this.answering.size() < MAX_BATCH) {
			Job job = this.waiting.remove();
			PrefixKey prompt = job.request.prompt();
			job.cachedTokens = this.cache.use(prompt) * PromptGenerator.BLOCK_TOKENS;
			// At least one token is processed to produce the first one.
			job.promptLeft = Math.max(1, job.request.promptTokens() - job.cachedTokens);
			this.prefilling.add(job);
		}
	}

	private void endStep(List<Job> prefilled) {
		if (this.gone) {
			prefilled.forEach((job) -> job.listener.broken());
			return;
		}
		Iterator<Job> jobs = this.answering.iterator();
		List<Job> ended = new ArrayList<>();
		while (jobs.hasNext()) {
			Job job = jobs.next();
			job.answerLeft--;
			if (job.answerLeft == 0) {
				jobs.remove();
				ended.add(job);
			}
		}
		for (Job job : prefilled) {
			this.cache.add(job.request.prompt());
			job.listener.firstToken(job.cachedTokens);
			job.answerLeft = job.request.answerTokens() - 1;
			if (job.answerLeft > 0) {
				this.answering.add(job);
			}
			else {
				ended.add(job);
			}
		}
		for (Job job : ended) {
			this.cache.add(job.request.answer());
			job.listener.ended();
		}
		step();
	}

	/**
	 * Takes the events of one request.
	 */
	interface Listener {

		void firstToken(int cachedTokens);

		void ended();

		void broken();

	}

	private static final class Job {

		private final PromptRequest request;

		private final Listener listener;

		private int cachedTokens;

		private int promptLeft;

		private int answerLeft;

		private Job(PromptRequest request, Listener listener) {
			this.request = request;
			this.listener = listener;
		}

	}

}
