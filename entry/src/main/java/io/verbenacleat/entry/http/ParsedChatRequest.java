package io.verbenacleat.entry.http;

import io.verbenacleat.entry.routing.PrefixKey;
import io.verbenacleat.proto.v1.ChatWork;

/**
 * A validated chat completion request. Immutable.
 *
 * @param work the work to send to the agent
 * @param reserveTokens the tokens to reserve for the worst case, zero or more
 * @param stream whether the response is a stream of server-sent events
 * @param includeUsage whether the stream ends with a chunk that contains the usage
 * @param prefix the prefix key of the prompt
 */
record ParsedChatRequest(ChatWork work, long reserveTokens, boolean stream, boolean includeUsage, PrefixKey prefix) {
}
