package io.verbenacleat.router.relay;

/**
 * Decides how long requests wait at a router that has just started for what it is about
 * to learn. After a loss of power all routers start at the same time, so that callers
 * which are refused would come back to another one that starts. Stateless.
 */
final class StartupWaitPolicy {

	/** A router that reaches the store has its configuration and tokens by then. */
	static final long STARTUP_MS = 1_500;

	/**
	 * A request is late after 0.6 to 1.2 s; one that is refused earlier may still return.
	 */
	static final long MAX_CONFIG_WAIT_MS = 700;

	/**
	 * Another router may have tokens at hand; a round of the ledger takes some 100 ms on
	 * a busy host, and a second one after a conflict as much.
	 */
	static final long MAX_TOKEN_WAIT_MS = 400;

	/**
	 * The first round of a ledger reads all rows on a host that is busy with its start.
	 */
	static final long MAX_STARTUP_TOKEN_WAIT_MS = 900;

	private StartupWaitPolicy() {
	}

	/**
	 * Decides whether a request waits for the configuration and the servers.
	 * @param uptimeMs the time since the router started, in milliseconds
	 * @param waitedMs how long the request has waited, in milliseconds
	 * @return {@code false} when it is refused
	 */
	static boolean shouldWaitForConfiguration(long uptimeMs, long waitedMs) {
		return uptimeMs <= STARTUP_MS && waitedMs <= MAX_CONFIG_WAIT_MS;
	}

	/**
	 * Decides whether a request waits for tokens.
	 * @param uptimeMs the time since the router started, in milliseconds
	 * @param waitedMs how long the request has waited for them, in milliseconds
	 * @return {@code false} when it is refused
	 */
	static boolean shouldWaitForTokens(long uptimeMs, long waitedMs) {
		return waitedMs <= ((uptimeMs <= STARTUP_MS) ? MAX_STARTUP_TOKEN_WAIT_MS : MAX_TOKEN_WAIT_MS);
	}

}
