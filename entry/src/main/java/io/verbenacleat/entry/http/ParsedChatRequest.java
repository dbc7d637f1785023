package io.verbenacleat.entry.http;

import io.verbenacleat.entry.routing.PrefixKey;
import io.verbenacleat.proto.v1.ChatWork;

/**
 * A checked chat completion request. Immutable.
 *
 * @param work the work for the agent
 * @param reserveTokens the worst case
 * @param stream whether the caller wants server-sent events
 * @param includeUsage whether the caller wants a last chunk with the usage
 * @param prefix the prefix key of the prompt
 */
record ParsedChatRequest(ChatWork work, long reserveTokens, boolean stream, boolean includeUsage, PrefixKey prefix) {
}
