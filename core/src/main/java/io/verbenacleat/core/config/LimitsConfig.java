package io.verbenacleat.core.config;

import java.util.List;

/**
 * The limits of an office. Immutable.
 *
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param requestTimeoutMs the timeout of a request if the caller gives none, in
 * milliseconds
 * @param maxInProgress the maximum number of requests in progress at one entry
 * @param retryAfterMs the delay after which a refused caller should retry if there is no
 * better estimate, in milliseconds
 * @param maxConfigAgeMs how long an entry accepts requests after its last contact with
 * the platform, in milliseconds; 0 for no limit
 * @param maxQueueWaitMs the maximum time that an order waits in the queue of an agent, in
 * milliseconds; 0 for no queue
 * @param maxInProgressPerAccount the maximum number of requests of one account in
 * progress at one entry; 0 for no limit
 * @param workspaceWeights the weights of workspaces; unlisted ones have the default
 */
public record LimitsConfig(int maxBodyBytes, long requestTimeoutMs, int maxInProgress, long retryAfterMs,
		long maxConfigAgeMs, long maxQueueWaitMs, int maxInProgressPerAccount, List<WorkspaceWeight> workspaceWeights) {

	private static final long DEFAULT_QUEUE_WAIT_MS = 2_000;

	/** The limits of an office that sets none. */
	public static final LimitsConfig DEFAULT = new LimitsConfig(4 * 1024 * 1024, 120_000, 512, 1_000, 0);

	/**
	 * Creates limits with a copy of the list.
	 */
	public LimitsConfig {
		workspaceWeights = List.copyOf(workspaceWeights);
	}

	/**
	 * Creates limits with the default queue wait, without a limit per account and without
	 * workspace weights.
	 * @param maxBodyBytes the maximum size of a request body, in bytes
	 * @param requestTimeoutMs the timeout of a request if the caller gives none, in
	 * milliseconds
	 * @param maxInProgress the maximum number of requests in progress at one entry
	 * @param retryAfterMs the delay after which a refused caller should retry if there is
	 * no better estimate, in milliseconds
	 * @param maxConfigAgeMs how long an entry accepts requests after its last contact
	 * with the platform, in milliseconds; 0 for no limit
	 */
	public LimitsConfig(int maxBodyBytes, long requestTimeoutMs, int maxInProgress, long retryAfterMs,
			long maxConfigAgeMs) {
		this(maxBodyBytes, requestTimeoutMs, maxInProgress, retryAfterMs, maxConfigAgeMs, DEFAULT_QUEUE_WAIT_MS, 0,
				List.of());
	}

}
