package io.verbenacleat.bench.routing;

import io.verbenacleat.entry.routing.PrefixKey;

/**
 * One request of the workload. Immutable.
 *
 * @param arrivalUs when it arrives at its entry, in microseconds since the start of the
 * run
 * @param entry the index of the entry
 * @param prompt the blocks of the prompt
 * @param promptTokens the number of tokens of the prompt
 * @param conversation the blocks of the prompt and the answer together
 * @param answerTokens the number of tokens of the answer, 1 or more
 */
record PromptRequest(long arrivalUs, int entry, PrefixKey prompt, int promptTokens, PrefixKey conversation,
		int answerTokens) {
}
