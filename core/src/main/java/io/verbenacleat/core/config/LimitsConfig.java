package io.verbenacleat.core.config;

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
 */
public record LimitsConfig(int maxBodyBytes, long requestTimeoutMs, int maxInProgress, long retryAfterMs,
		long maxConfigAgeMs) {

	/** The limits of an office that sets none. */
	public static final LimitsConfig DEFAULT = new LimitsConfig(4 * 1024 * 1024, 120_000, 512, 1_000, 0);

}
