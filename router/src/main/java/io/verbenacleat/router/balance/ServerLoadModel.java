package io.verbenacleat.router.balance;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates when one incarnation of a backend server sends the first event of a request.
 * Combines the requests of this router, which it knows exactly, with old reports on those
 * of the other routers. Not safe for use by several threads.
 * <p>
 * The number of requests of the other routers is the mean of many reports, because a
 * single one is older than most of the requests it counts. Only the tokens that waited
 * for a slot are used from the last report, with a weight that falls with its age.
 */
public final class ServerLoadModel {

	/** The round trip to a server within an availability zone. */
	private static final double FIXED_MS = 1;

	/**
	 * Tokens that each request counts in addition to its prompt: about one step of the
	 * engine.
	 */
	static final double REQUEST_TOKENS = 600;

	/**
	 * Assumed events at the mean slowness, which the observations of one server have to
	 * outweigh.
	 */
	private static final double ASSUMED_EVENTS = 50;

	/** About this many of the last events determine the slowness of a server. */
	private static final double REMEMBERED_EVENTS = 2_000;

	/** Servers of one service differ less; more is an observation gone wrong. */
	private static final double MAX_SLOWNESS = 5;

	/**
	 * How long reports are averaged. Routers that follow each report all send to the
	 * server that just looked idle: with the last report instead of this mean, servers
	 * were overrun in turns in the experiment {@code even-load}.
	 */
	private static final double REPORT_MEMORY_MS = 20_000;

	/**
	 * The first report counts like one after this time, and the mean of the service for
	 * the rest.
	 */
	private static final double FIRST_REPORT_MS = 3_000;

	/** Over this time the own sends are spread evenly over the servers. */
	private static final double RECENT_MS = 2_000;

	/** Bounds the memory for 600 servers. */
	private static final int MAX_PREFIXES = 64;

	private final int slots;

	private final RequestTimes times;

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

	private double events = ASSUMED_EVENTS;

	private double relativeEvents = ASSUMED_EVENTS;

	private boolean hasReport;

	private long reportAtMs;

	private double meanOthers;

	private double reportedWaitingTokens;

	/**
	 * Creates the model of a server without requests.
	 * @param slots the number of requests that the server runs concurrently, 0 when
	 * unknown
	 * @param times the means of the requests to the service
	 */
	public ServerLoadModel(int slots, RequestTimes times) {
		this.slots = slots;
		this.times = times;
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
		double expectedMs = FIXED_MS + slotWaitMs() + (unreadTokens(nowMs) + tokens) * msPerToken();
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
		double others = Math.max(0, report.requests() - this.ownRequests);
		if (!this.hasReport) {
			this.meanOthers = this.times.others();
		}
		double elapsedMs = this.hasReport ? requestedAtMs - this.reportAtMs : FIRST_REPORT_MS;
		this.meanOthers += (1 - Math.exp(-elapsedMs / REPORT_MEMORY_MS)) * (others - this.meanOthers);
		this.times.onReport(others);
		this.reportedWaitingTokens = (double) report.waiting() * Math.max(report.nextTokens(), REQUEST_TOKENS);
		this.reportAtMs = requestedAtMs;
		this.hasReport = true;
	}

	/**
	 * Returns the estimated number of requests of other routers at the server.
	 * @return the number, the mean of the service before the first report
	 */
	public double others() {
		return this.hasReport ? this.meanOthers : this.times.others();
	}

	/**
	 * Returns the estimated number of requests of all routers at the server.
	 * @return the number
	 */
	public double requests() {
		return this.ownRequests + others();
	}

	/**
	 * Returns the estimated number of prompt tokens that the server reads before those of
	 * a new request.
	 * @param nowMs the steady time in milliseconds
	 * @return the number of tokens
	 */
	public double unreadTokens(long nowMs) {
		// By Little's law, this share of the requests has not had its first event.
		double unreadShare = Math.min(1, this.times.firstEventMs() / this.times.durationMs());
		return this.ownUnreadTokens + others() * unreadShare * this.times.tokens()
				+ this.reportedWaitingTokens * reportWeight(nowMs);
	}

	/**
	 * Returns the estimated wait for a slot.
	 * @return the wait in milliseconds, 0 while slots are free
	 */
	public double slotWaitMs() {
		double surplus = requests() + 1 - this.slots;
		return (this.slots > 0 && surplus > 0) ? surplus * this.times.durationMs() / this.slots : 0;
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
	 * Returns the time that the server needs relative to the mean of its service.
	 * @return the factor, more than 1 for a slow server
	 */
	public double slowness() {
		return Math.max(1 / MAX_SLOWNESS, Math.min(this.relativeEvents / this.events, MAX_SLOWNESS));
	}

	/**
	 * Returns the time in which the server reads one prompt token.
	 * @return the time in milliseconds
	 */
	public double msPerToken() {
		return this.times.msPerToken() * slowness();
	}

	/**
	 * Returns the age of the last report.
	 * @param nowMs the steady time in milliseconds
	 * @return the time since it was requested in milliseconds, very long without a report
	 */
	public double reportAgeMs(long nowMs) {
		return this.hasReport ? nowMs - this.reportAtMs : Double.MAX_VALUE;
	}

	private double reportWeight(long nowMs) {
		return this.hasReport ? decay(nowMs - this.reportAtMs, this.times.durationMs()) : 0;
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

		private long firstEventAtMs;

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
			this.firstEventAtMs = nowMs;
			double readMs = Math.max(0, nowMs - this.sentAtMs - FIXED_MS);
			ServerLoadModel.this.times.onFirstEvent(readMs, this.tokensToFirstEvent * slowness(), this.tokens);
			return true;
		}

		/**
		 * Records that the request ended, for whatever reason. Later calls do nothing.
		 * @param nowMs the steady time in milliseconds
		 * @param eventCount the number of events of the response
		 */
		public void onEnd(long nowMs, int eventCount) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			if (!this.unread) {
				recordPace(nowMs, Math.max(0, eventCount - 1));
			}
			ServerLoadModel.this.ownRequests--;
			markRead();
		}

		private void recordPace(long nowMs, int intervals) {
			ServerLoadModel model = ServerLoadModel.this;
			double elapsedMs = nowMs - this.firstEventAtMs;
			model.times.onEnd(nowMs - this.sentAtMs, intervals, elapsedMs);
			if (intervals > 0 && model.times.msPerEvent() > 0) {
				double kept = Math.max(0, 1 - intervals / REMEMBERED_EVENTS);
				model.events = kept * model.events + intervals;
				model.relativeEvents = kept * model.relativeEvents + elapsedMs / model.times.msPerEvent();
			}
		}

		private void markRead() {
			if (this.unread) {
				this.unread = false;
				ServerLoadModel.this.ownUnreadTokens -= this.tokens;
			}
		}

	}

}
