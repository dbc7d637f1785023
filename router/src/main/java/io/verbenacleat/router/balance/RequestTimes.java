package io.verbenacleat.router.balance;

/**
 * Means over the requests of this router to all servers of one service, which are known
 * much better than those of a single server. Not safe for use by several threads.
 */
public final class RequestTimes {

	/** Reads 100 tokens per millisecond until the speed was observed. */
	private static final double INITIAL_MS_PER_TOKEN = 0.01;

	private static final double INITIAL_DURATION_MS = 1_000;

	private static final double INITIAL_TOKENS = 1_000;

	/** About this many of the last requests determine the means. */
	private static final double REMEMBERED = 200;

	private double firstEvents = 1;

	private double firstEventMs = INITIAL_TOKENS * INITIAL_MS_PER_TOKEN;

	private double tokensToFirstEvent = INITIAL_TOKENS;

	private double tokens = INITIAL_TOKENS;

	private double ends = 1;

	private double durationMs = INITIAL_DURATION_MS;

	private double events;

	private double eventMs;

	private double reports;

	private double others;

	void onFirstEvent(double elapsedMs, double expectedTokens, double ownTokens) {
		double kept = 1 - 1 / REMEMBERED;
		this.firstEvents = kept * this.firstEvents + 1;
		this.firstEventMs = kept * this.firstEventMs + elapsedMs;
		this.tokensToFirstEvent = kept * this.tokensToFirstEvent + expectedTokens;
		this.tokens = kept * this.tokens + ownTokens;
	}

	void onEnd(double elapsedMs, double eventCount, double betweenEventsMs) {
		double kept = 1 - 1 / REMEMBERED;
		this.ends = kept * this.ends + 1;
		this.durationMs = kept * this.durationMs + elapsedMs;
		this.events = kept * this.events + eventCount;
		this.eventMs = kept * this.eventMs + betweenEventsMs;
	}

	void onReport(double otherRequests) {
		double kept = 1 - 1 / REMEMBERED;
		this.reports = kept * this.reports + 1;
		this.others = kept * this.others + otherRequests;
	}

	/**
	 * Returns the mean time in which a server reads one prompt token, of those that it
	 * reads before the first event.
	 * @return the time in milliseconds
	 */
	double msPerToken() {
		return this.firstEventMs / this.tokensToFirstEvent;
	}

	double firstEventMs() {
		return this.firstEventMs / this.firstEvents;
	}

	double tokens() {
		return this.tokens / this.firstEvents;
	}

	double durationMs() {
		return this.durationMs / this.ends;
	}

	/**
	 * Returns the mean time between two events of a response.
	 * @return the time in milliseconds, 0 when unknown
	 */
	double msPerEvent() {
		return (this.events > 0) ? this.eventMs / this.events : 0;
	}

	/**
	 * Returns the mean number of requests of other routers at a server.
	 * @return the number, 0 before the first report
	 */
	double others() {
		return (this.reports > 0) ? this.others / this.reports : 0;
	}

}
