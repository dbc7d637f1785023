package io.verbenacleat.router.relay;

/**
 * Decides how long a request waits for the configuration and tokens of a router that has
 * just started. After a power failure all routers start at the same time, so a refused
 * caller would only reach another starting router. Stateless.
 */
final class StartupWaitPolicy {

	/** A router that can reach the store has its configuration and tokens by then. */
	static final long STARTUP_MS = 1_500;

	/**
	 * Requests are late after 0.6 to 1.2 s. A caller that is refused earlier still has
	 * time for a retry.
	 */
	static final long MAX_CONFIG_WAIT_MS = 700;

	/**
	 * Another router may have tokens available. A round of the ledger takes about 100 ms
	 * on a busy host, and a retry after a conflict takes as long again.
	 */
	static final long MAX_TOKEN_WAIT_MS = 400;

	/**
	 * The first round of the ledger takes longer: it reads all rows while the host is
	 * busy with the startup.
	 */
	static final long MAX_STARTUP_TOKEN_WAIT_MS = 900;

	private StartupWaitPolicy() {
	}

	/**
	 * Returns whether a request should wait for the configuration and the server list.
	 * @param uptimeMs the time since the router started, in milliseconds
	 * @param waitedMs how long the request has waited, in milliseconds
	 * @return {@code false} if the request should be refused
	 */
	static boolean shouldWaitForConfiguration(long uptimeMs, long waitedMs) {
		return uptimeMs <= STARTUP_MS && waitedMs <= MAX_CONFIG_WAIT_MS;
	}

	/**
	 * Returns whether a request should wait for tokens.
	 * @param uptimeMs the time since the router started, in milliseconds
	 * @param waitedMs how long the request has waited for tokens, in milliseconds
	 * @return {@code false} if the request should be refused
	 */
	static boolean shouldWaitForTokens(long uptimeMs, long waitedMs) {
		return waitedMs <= ((uptimeMs <= STARTUP_MS) ? MAX_STARTUP_TOKEN_WAIT_MS : MAX_TOKEN_WAIT_MS);
	}

}
