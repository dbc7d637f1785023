package io.verbenacleat.bench.routing;

import io.verbenacleat.entry.routing.PrefixKey;

/**
 * One request of the workload. Immutable.
 *
 * @param arrivalUs when it reaches its entry, in microseconds from the start
 * @param entry the index of the entry
 * @param prompt the blocks of the prompt
 * @param promptTokens the tokens of the prompt
 * @param conversation the blocks of prompt and answer together
 * @param answerTokens the tokens of the answer, 1 or more
 */
record PromptRequest(long arrivalUs, int entry, PrefixKey prompt, int promptTokens, PrefixKey conversation,
		int answerTokens) {
}
