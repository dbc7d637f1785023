package io.verbenacleat.router.balance;

/**
 * What is known of a request before a backend server is selected for it. Immutable.
 *
 * @param affinityKey a key that requests with a common prompt prefix share, 0 for none
 * @param promptTokens the number of prompt tokens, including the shared ones, 0 when
 * unknown
 * @param sharedTokens the number of tokens in the common prompt prefix, at most the
 * prompt tokens
 * @param suspect whether requests with the key may crash servers, so that they should go
 * to as few as possible
 */
public record RequestDescription(long affinityKey, long promptTokens, long sharedTokens, boolean suspect) {

	/**
	 * Bounds the influence of one request on the estimates. Engines accept shorter
	 * prompts.
	 */
	private static final long MAX_TOKENS = 1_000_000;

	/**
	 * Creates a description in which absurd numbers of tokens are replaced.
	 */
	public RequestDescription {
		promptTokens = Math.max(0, Math.min(promptTokens, MAX_TOKENS));
		sharedTokens = Math.max(0, Math.min(sharedTokens, promptTokens));
	}

	/**
	 * Creates a description of a request that is not suspected of crashing servers.
	 * @param affinityKey the key of the common prompt prefix, 0 for none
	 * @param promptTokens the number of prompt tokens, 0 when unknown
	 * @param sharedTokens the number of tokens in the common prompt prefix
	 */
	public RequestDescription(long affinityKey, long promptTokens, long sharedTokens) {
		this(affinityKey, promptTokens, sharedTokens, false);
	}

	/**
	 * Returns the description of a request whose prompt tokens are not known.
	 * @param affinityKey the key of the common prompt prefix, 0 for none
	 * @return the description
	 */
	public static RequestDescription of(long affinityKey) {
		return new RequestDescription(affinityKey, 0, 0);
	}

}
