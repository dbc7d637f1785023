package io.verbenacleat.bench.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

import io.verbenacleat.entry.routing.PrefixKey;

/**
 * Simulates a model engine with batching in virtual time. Each step generates one token
 * of each running answer and processes up to one chunk of the waiting prompts. The
 * duration of a step grows with the number of answers and of prompt tokens. Not safe for
 * use by several threads.
 */
final class FakeEngine {

	/**
	 * The duration of an empty step. A step with 128 answers takes 44 ms plus the time
	 * for prompts.
	 */
	static final double STEP_US = 12_000;

	static final double ANSWER_US = 250;

	static final double PROMPT_TOKEN_US = 50;

	static final int MAX_BATCH = 128;

	private static final int CHUNK_TOKENS = 512;

	private final VirtualTime time;

	private final double slowdown;

	private final PrefixCache cache;

	private final Deque<Job> waiting = new ArrayDeque<>();

	private final Deque<Job> prefilling = new ArrayDeque<>();

	private List<Job> answering = new ArrayList<>();

	private boolean stepping;

	private boolean crashed;

	FakeEngine(VirtualTime time, double slowdown, PrefixCache cache) {
		this.time = time;
		this.slowdown = slowdown;
		this.cache = cache;
	}

	int inProgress() {
		return this.waiting.size() + this.prefilling.size() + this.answering.size();
	}

	boolean isCrashed() {
		return this.crashed;
	}

	/**
	 * Queues a request.
	 * @param request the request
	 * @param listener receives its events
	 */
	void submit(PromptRequest request, Listener listener) {
		this.waiting.add(new Job(request, listener));
		if (!this.stepping) {
			this.stepping = true;
			step();
		}
	}

	/**
	 * Crashes the engine. All its requests fail with a broken connection.
	 */
	void crash() {
		this.crashed = true;
		List<Job> lost = new ArrayList<>(this.waiting);
		lost.addAll(this.prefilling);
		lost.addAll(this.answering);
		this.waiting.clear();
		this.prefilling.clear();
		this.answering.clear();
		lost.forEach((job) -> job.listener.onConnectionBroken());
	}

	private void step() {
		admit();
		if (this.prefilling.isEmpty() && this.answering.isEmpty()) {
			this.stepping = false;
			return;
		}
		int chunkTokens = 0;
		List<Job> prefilled = new ArrayList<>();
		while (chunkTokens < CHUNK_TOKENS && !this.prefilling.isEmpty()) {
			Job job = this.prefilling.peek();
			int processedTokens = Math.min(CHUNK_TOKENS - chunkTokens, job.promptTokensLeft);
			job.promptTokensLeft -= processedTokens;
			chunkTokens += processedTokens;
			if (job.promptTokensLeft == 0) {
				prefilled.add(this.prefilling.remove());
			}
		}
		long durationUs = (long) ((STEP_US + ANSWER_US * this.answering.size() + PROMPT_TOKEN_US * chunkTokens)
				* this.slowdown);
		this.time.schedule(durationUs, () -> endStep(prefilled));
	}

	private void admit() {
		while (!this.waiting.isEmpty() && this.prefilling.size() + this.answering.size() < MAX_BATCH) {
			Job job = this.waiting.remove();
			PrefixKey prompt = job.request.prompt();
			job.cachedTokens = this.cache.use(prompt) * PromptGenerator.BLOCK_TOKENS;
			// Even for a fully cached prompt, the engine processes one token to generate
			// the first one.
			job.promptTokensLeft = Math.max(1, job.request.promptTokens() - job.cachedTokens);
			this.prefilling.add(job);
		}
	}

	private void endStep(List<Job> prefilled) {
		if (this.crashed) {
			prefilled.forEach((job) -> job.listener.onConnectionBroken());
			return;
		}
		Iterator<Job> jobs = this.answering.iterator();
		List<Job> ended = new ArrayList<>();
		while (jobs.hasNext()) {
			Job job = jobs.next();
			job.answerTokensLeft--;
			if (job.answerTokensLeft == 0) {
				jobs.remove();
				ended.add(job);
			}
		}
		for (Job job : prefilled) {
			this.cache.add(job.request.prompt());
			job.listener.onFirstToken(job.cachedTokens);
			job.answerTokensLeft = job.request.answerTokens() - 1;
			if (job.answerTokensLeft > 0) {
				this.answering.add(job);
			}
			else {
				ended.add(job);
			}
		}
		for (Job job : ended) {
			this.cache.add(job.request.conversation());
			job.listener.onEnded();
		}
		step();
	}

	/**
	 * Receives the events of one request.
	 */
	interface Listener {

		void onFirstToken(int cachedTokens);

		void onEnded();

		void onConnectionBroken();

	}

	private static final class Job {

		private final PromptRequest request;

		private final Listener listener;

		private int cachedTokens;

		private int promptTokensLeft;

		private int answerTokensLeft;

		private Job(PromptRequest request, Listener listener) {
			this.request = request;
			this.listener = listener;
		}

	}

}
