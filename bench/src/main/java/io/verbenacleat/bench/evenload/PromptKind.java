package io.verbenacleat.bench.evenload;

/**
 * A kind of request. Immutable.
 *
 * @param sharedTokens the tokens of the prompt that other requests share
 * @param ownTokens the other tokens of the prompt
 * @param outputTokens the tokens of the response
 * @param perServerAndS the requests per second for each server
 * @param targetMs the time within which the first event is expected, in milliseconds
 * @param prefixes the number of different shared prompts
 */
record PromptKind(int sharedTokens, int ownTokens, int outputTokens, double perServerAndS, double targetMs,
		int prefixes) {
}
