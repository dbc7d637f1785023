package io.verbenacleat.router.balance;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates when one incarnation of a backend server sends the first event of a request.
 * Combines the requests of this router, which it knows exactly, with old reports on those
 * of the other routers. Not safe for use by several threads.
 * <p>
 * The difference between the last report and the mean of the reports loses its weight
 * with the age of the report, because the requests that it counted end. A report that is
 * older than a typical request says little about the present.
 */
public final class ServerLoadModel {

	/**
	 * The part of the time to the first event that does not depend on the prompt: the
	 * network and about one step of the engine.
	 */
	private static final double FIXED_MS = 6;

	/**
	 * Tokens that each request counts in addition to its prompt, so that requests without
	 * a known prompt are counted as well.
	 */
	private static final double REQUEST_TOKENS = 200;

	/** Reads 100 tokens per millisecond until the speed was observed. */
	private static final double INITIAL_MS_PER_TOKEN = 0.01;

	private static final double INITIAL_DURATION_MS = 1_000;

	private static final double INITIAL_TOKENS = 1_000;

	private static final double INITIAL_FIRST_EVENT_MS = 40;

	private static final double SMOOTHING = 0.1;

	/** Smaller than {@link #SMOOTHING} because the speed of a server rarely changes. */
	private static final double SPEED_SMOOTHING = 0.05;

	/** Reports arrive once in one to 30 seconds, depending on the number of routers. */
	private static final double REPORT_SMOOTHING = 0.25;

	/** Over this time the own sends are spread evenly over the servers. */
	private static final double RECENT_MS = 2_000;

	/** Bounds the memory for 600 servers. */
	private static final int MAX_PREFIXES = 64;

	private final int slots;

	/** The prompt prefixes that this router sent to the server, oldest first. */
	private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75F, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
			return size() > MAX_PREFIXES;
		}

	};

	private int ownRequests;

	private double ownUnreadTokens;

	private double recentTokens;

	private long recentAtMs;

	private double msPerToken = INITIAL_MS_PER_TOKEN;

	private double speedSamples;

	private double durationMs = INITIAL_DURATION_MS;

	private double firstEventMs = INITIAL_FIRST_EVENT_MS;

	private double requestTokens = INITIAL_TOKENS;

	private boolean hasReport;

	private long reportAtMs;

	private double reportedOthers;

	private double meanOthers;

	private double reportedWaitingTokens;

	/**
	 * Creates the model of a server without requests.
	 * @param slots the number of requests that the server runs concurrently, 0 when
	 * unknown
	 */
	public ServerLoadModel(int slots) {
		this.slots = slots;
	}

	/**
	 * Records that a request is sent to the server.
	 * @param request the request
	 * @param nowMs the steady time in milliseconds
	 * @return receives the events of the request
	 */
	public Send onSend(RequestDescription request, long nowMs) {
		boolean cached = request.affinityKey() != 0 && this.prefixes.put(request.affinityKey(), Boolean.TRUE) != null;
		double tokens = REQUEST_TOKENS + request.promptTokens() - (cached ? request.sharedTokens() : 0);
		double expectedMs = FIXED_MS + slotWaitMs(nowMs) + (unreadTokens(nowMs) + tokens) * this.msPerToken;
		this.recentTokens = recentTokens(nowMs) + tokens;
		this.recentAtMs = nowMs;
		return new Send(tokens, unreadTokens(nowMs) + tokens, expectedMs, nowMs);
	}

	/**
	 * Records a load report. A report that was requested before the last one is ignored.
	 * @param report the report
	 * @param requestedAtMs when the report was requested, by the steady time in
	 * milliseconds
	 */
	public void onReport(LoadReport report, long requestedAtMs) {
		if (this.hasReport && requestedAtMs <= this.reportAtMs) {
			return;
		}
		this.reportedOthers = Math.max(0, report.requests() - this.ownRequests);
		this.meanOthers += (this.hasReport ? REPORT_SMOOTHING : 1) * (this.reportedOthers - this.meanOthers);
		this.reportedWaitingTokens = (double) report.waiting() * Math.max(report.nextTokens(), REQUEST_TOKENS);
		this.reportAtMs = requestedAtMs;
		this.hasReport = true;
	}

	/**
	 * Returns the estimated number of requests of other routers at the server.
	 * @param nowMs the steady time in milliseconds
	 * @return the number, 0 before the first report
	 */
	public double others(long nowMs) {
		return this.meanOthers + (this.reportedOthers - this.meanOthers) * reportWeight(nowMs);
	}

	/**
	 * Returns the estimated number of requests of all routers at the server.
	 * @param nowMs the steady time in milliseconds
	 * @return the number
	 */
	public double requests(long nowMs) {
		return this.ownRequests + others(nowMs);
	}

	/**
	 * Returns the estimated number of prompt tokens that the server reads before those of
	 * a new request.
	 * @param nowMs the steady time in milliseconds
	 * @return the number of tokens
	 */
	public double unreadTokens(long nowMs) {
		// By Little's law, this share of the requests has not had its first event.
		double unreadShare = Math.min(1, this.firstEventMs / this.durationMs);
		return this.ownUnreadTokens + others(nowMs) * unreadShare * this.requestTokens
				+ this.reportedWaitingTokens * reportWeight(nowMs);
	}

	/**
	 * Returns the estimated wait for a slot.
	 * @param nowMs the steady time in milliseconds
	 * @return the wait in milliseconds, 0 while slots are free
	 */
	public double slotWaitMs(long nowMs) {
		double surplus = requests(nowMs) + 1 - this.slots;
		return (this.slots > 0 && surplus > 0) ? surplus * this.durationMs / this.slots : 0;
	}

	/**
	 * Returns the tokens that this router has sent lately, whether they were read or not.
	 * @param nowMs the steady time in milliseconds
	 * @return the number of tokens, weighted by their age
	 */
	public double recentTokens(long nowMs) {
		return this.recentTokens * decay(nowMs - this.recentAtMs, RECENT_MS);
	}

	/**
	 * Returns the time in which the server reads one prompt token.
	 * @return the time in milliseconds
	 */
	public double msPerToken() {
		return this.msPerToken;
	}

	/**
	 * Returns how many observations the speed is based on.
	 * @return the number
	 */
	public double speedSamples() {
		return this.speedSamples;
	}

	/**
	 * Returns the mean time between the send and the end of a request.
	 * @return the time in milliseconds
	 */
	public double durationMs() {
		return this.durationMs;
	}

	private double reportWeight(long nowMs) {
		return this.hasReport ? decay(nowMs - this.reportAtMs, this.durationMs) : 0;
	}

	// Approximates the exponential function, which is too slow for each of 600 servers.
	private static double decay(double elapsed, double scale) {
		double x = Math.max(0, elapsed) / scale;
		return 1 / (1 + x + x * x / 2);
	}

	/**
	 * A request of this router at the server. Not safe for use by several threads.
	 */
	public final class Send {

		private final double tokens;

		private final double tokensToFirstEvent;

		private final double expectedMs;

		private final long sentAtMs;

		private boolean unread = true;

		private boolean ended;

		private Send(double tokens, double tokensToFirstEvent, double expectedMs, long sentAtMs) {
			this.tokens = tokens;
			this.tokensToFirstEvent = tokensToFirstEvent;
			this.expectedMs = expectedMs;
			this.sentAtMs = sentAtMs;
			ServerLoadModel.this.ownRequests++;
			ServerLoadModel.this.ownUnreadTokens += tokens;
		}

		/**
		 * Returns the time to the first event that was expected at the send.
		 * @return the time in milliseconds
		 */
		public double expectedMs() {
			return this.expectedMs;
		}

		/**
		 * Records the first event of the response. Later calls do nothing.
		 * @param nowMs the steady time in milliseconds
		 * @return {@code true} for the first call
		 */
		public boolean onFirstEvent(long nowMs) {
			if (!this.unread) {
				return false;
			}
			markRead();
			ServerLoadModel model = ServerLoadModel.this;
			double elapsedMs = nowMs - this.sentAtMs;
			model.firstEventMs += SMOOTHING * (elapsedMs - model.firstEventMs);
			model.requestTokens += SMOOTHING * (this.tokens - model.requestTokens);
			double observed = Math.max(0, elapsedMs - FIXED_MS) / this.tokensToFirstEvent;
			model.speedSamples++;
			model.msPerToken += Math.max(1 / model.speedSamples, SPEED_SMOOTHING) * (observed - model.msPerToken);
			return true;
		}

		/**
		 * Records that the request ended, for whatever reason. Later calls do nothing.
		 * @param nowMs the steady time in milliseconds
		 */
		public void onEnd(long nowMs) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			if (!this.unread) {
				ServerLoadModel.this.durationMs += SMOOTHING
						* (nowMs - this.sentAtMs - ServerLoadModel.this.durationMs);
			}
			ServerLoadModel.this.ownRequests--;
			markRead();
		}

		private void markRead() {
			if (this.unread) {
				this.unread = false;
				ServerLoadModel.this.ownUnreadTokens -= this.tokens;
			}
		}

	}

}
