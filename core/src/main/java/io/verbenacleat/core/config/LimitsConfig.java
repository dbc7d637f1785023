package io.verbenacleat.core.config;

import java.util.List;

/**
 * The limits of an office. Immutable.
 *
 * @param maxBodyBytes the largest request body, in bytes
 * @param requestTimeoutMs how long a request may take when the caller does not say, in
 * milliseconds
 * @param maxInProgress the most requests that one entry works on at a time
 * @param retryAfterMs when to come back after a refusal without a better estimate, in
 * milliseconds
 * @param maxConfigAgeMs how long a node serves without contact to the platform, in
 * milliseconds; 0 for without end
 * @param maxQueueWaitMs how long an order may wait at an agent, in milliseconds
 * @param maxInProgressPerAccount the most requests of an account that one entry works on
 * at a time, 0 for no limit
 * @param workspaceWeights the weights of workspaces that differ from the default
 */
public record LimitsConfig(int maxBodyBytes, long requestTimeoutMs, int maxInProgress, long retryAfterMs,
		long maxConfigAgeMs, long maxQueueWaitMs, int maxInProgressPerAccount, List<WorkspaceWeight> workspaceWeights) {

	private static final long DEFAULT_QUEUE_WAIT_MS = 2_000;

	/** The limits of an office that sets none. */
	public static final LimitsConfig DEFAULT = new LimitsConfig(4 * 1024 * 1024, 120_000, 512, 1_000, 0);

	/**
	 * Creates limits from a copy of the list.
	 */
	public LimitsConfig {
		workspaceWeights = List.copyOf(workspaceWeights);
	}

	/**
	 * Creates limits with the default queue wait and weights.
	 * @param maxBodyBytes the largest request body, in bytes
	 * @param requestTimeoutMs the default timeout, in milliseconds
	 * @param maxInProgress the most requests that one entry works on at a time
	 * @param retryAfterMs when to come back, in milliseconds
	 * @param maxConfigAgeMs the longest time without contact, in milliseconds
	 */
	public LimitsConfig(int maxBodyBytes, long requestTimeoutMs, int maxInProgress, long retryAfterMs,
			long maxConfigAgeMs) {
		this(maxBodyBytes, requestTimeoutMs, maxInProgress, retryAfterMs, maxConfigAgeMs, DEFAULT_QUEUE_WAIT_MS, 0,
				List.of());
	}

}
