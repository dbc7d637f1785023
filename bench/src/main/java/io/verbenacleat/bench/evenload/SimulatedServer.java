package io.verbenacleat.bench.evenload;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.verbenacleat.bench.routing.VirtualTime;
import io.verbenacleat.router.balance.LoadReport;

/**
 * A model server in virtual time. Each step generates one token of each running response
 * and reads up to one chunk of the prompts. Not safe for use by several threads.
 */
final class SimulatedServer {

	static final int BATCH = 64;

	private static final int CHUNK_TOKENS = 1_024;

	private static final long CACHE_TOKENS = 100_000;

	private static final double US_PER_MS = 1_000;

	private final VirtualTime time;

	private final LoadCase.EngineSpeed engine;

	private final double speed;

	private final Deque<Job> waiting = new ArrayDeque<>();

	private final Deque<Job> reading = new ArrayDeque<>();

	private final List<Job> generating = new ArrayList<>();

	/** The tokens of the cached prompt prefixes, least recently used first. */
	private final Map<Long, Integer> cache = new LinkedHashMap<>(16, 0.75F, true);

	private final Runnable onStepEnd = this::endStep;

	private long cachedTokens;

	private int readCount;

	private boolean stepping;

	private boolean ended;

	private double requestUs;

	private long countedAtUs;

	private int prefixReads;

	SimulatedServer(VirtualTime time, LoadCase.EngineSpeed engine, double speed) {
		this.time = time;
		this.engine = engine;
		this.speed = speed;
	}

	double speed() {
		return this.speed;
	}

	int requests() {
		return this.waiting.size() + this.reading.size() + this.generating.size();
	}

	LoadReport report() {
		Job next = this.waiting.peek();
		return new LoadReport(this.reading.size() + this.generating.size(), this.waiting.size(), this.cachedTokens,
				CACHE_TOKENS, (next != null) ? next.kind.sharedTokens() + next.kind.ownTokens() : 0);
	}

	/**
	 * Returns how often a shared prefix was read.
	 * @return the count since the last call
	 */
	int takePrefixReads() {
		int count = this.prefixReads;
		this.prefixReads = 0;
		return count;
	}

	/**
	 * Returns the mean number of requests relative to the speed.
	 * @param windowUs the time since the last call in microseconds
	 * @return the number
	 */
	double takeMeanRequests(double windowUs) {
		count();
		double mean = this.requestUs / windowUs;
		this.requestUs = 0;
		return mean;
	}

	void submit(Job job) {
		if (this.ended) {
			job.onLost.run();
			return;
		}
		count();
		this.waiting.add(job);
		if (!this.stepping) {
			this.stepping = true;
			step();
		}
	}

	/**
	 * Ends the server and all its requests.
	 */
	void end() {
		this.ended = true;
		List<Job> lost = new ArrayList<>(this.waiting);
		lost.addAll(this.reading);
		lost.addAll(this.generating);
		lost.forEach((job) -> job.onLost.run());
	}

	private void count() {
		this.requestUs += (double) requests() * (this.time.nowUs() - this.countedAtUs);
		this.countedAtUs = this.time.nowUs();
	}

	private void step() {
		while (!this.waiting.isEmpty() && this.reading.size() + this.generating.size() < BATCH) {
			Job job = this.waiting.remove();
			job.tokensLeft = job.kind.ownTokens() + (isCached(job) ? 0 : job.kind.sharedTokens());
			this.reading.add(job);
		}
		if (this.reading.isEmpty() && this.generating.isEmpty()) {
			this.stepping = false;
			return;
		}
		int chunk = 0;
		this.readCount = 0;
		for (Job job : this.reading) {
			int tokens = Math.min(CHUNK_TOKENS - chunk, job.tokensLeft);
			job.tokensLeft -= tokens;
			chunk += tokens;
			if (job.tokensLeft > 0) {
				break;
			}
			this.readCount++;
		}
		double us = this.engine.stepUs() + this.engine.runningUs() * this.generating.size()
				+ US_PER_MS * chunk / this.engine.promptTokensPerMs();
		this.time.schedule((long) (us / this.speed), this.onStepEnd);
	}

	private boolean isCached(Job job) {
		boolean cached = this.cache.get(job.prefix) != null;
		if (!cached) {
			this.prefixReads++;
			this.cache.put(job.prefix, job.kind.sharedTokens());
			this.cachedTokens += job.kind.sharedTokens();
			var eldest = this.cache.entrySet().iterator();
			while (this.cachedTokens > CACHE_TOKENS) {
				this.cachedTokens -= eldest.next().getValue();
				eldest.remove();
			}
		}
		return cached;
	}

	private void endStep() {
		if (this.ended) {
			return;
		}
		count();
		this.generating.removeIf((job) -> {
			job.outputLeft--;
			if (job.outputLeft > 0) {
				return false;
			}
			job.onEnd.run();
			return true;
		});
		for (int i = 0; i < this.readCount; i++) {
			Job job = this.reading.remove();
			job.onFirstEvent.run();
			this.generating.add(job);
		}
		step();
	}

	/**
	 * A request at the server.
	 */
	static final class Job {

		private final PromptKind kind;

		private final long prefix;

		private final Runnable onFirstEvent;

		private final Runnable onEnd;

		private final Runnable onLost;

		private int tokensLeft;

		private int outputLeft;

		Job(PromptKind kind, long prefix, Runnable onFirstEvent, Runnable onEnd, Runnable onLost) {
			this.kind = kind;
			this.prefix = prefix;
			this.onFirstEvent = onFirstEvent;
			this.onEnd = onEnd;
			this.onLost = onLost;
			this.outputLeft = kind.outputTokens();
		}

	}

}
