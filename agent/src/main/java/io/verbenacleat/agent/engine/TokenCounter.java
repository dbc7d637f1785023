package io.verbenacleat.agent.engine;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.verbenacleat.agent.order.BackendOutcome;
import io.verbenacleat.proto.v1.ExecuteRequest;

/**
 * Counts the tokens of one chat completion stream. A chunk with usage sets the count, any
 * other chunk with content adds one; the count never decreases. Not safe for use by
 * several threads.
 */
final class TokenCounter {

	private final long promptBoundTokens;

	private final long answerBoundTokens;

	private final long reservedTokens;

	private long promptTokens = -1;

	private long answerTokens;

	TokenCounter(ExecuteRequest order) {
		this.promptBoundTokens = order.getChat().getPromptBoundTokens();
		this.answerBoundTokens = order.getChat().getAnswerBoundTokens();
		this.reservedTokens = order.getReservedTokens();
	}

	/**
	 * Counts a chunk.
	 * @param chunk the chunk
	 */
	void add(JsonNode chunk) {
		JsonNode usage = chunk.path("usage");
		if (usage.isObject()) {
			this.promptTokens = Math.max(this.promptTokens, usage.path("prompt_tokens").asLong(-1));
			this.answerTokens = Math.max(this.answerTokens, usage.path("completion_tokens").asLong(0));
		}
		else if (hasContent(chunk)) {
			this.answerTokens++;
		}
	}

	/**
	 * Returns whether a bound was exceeded. A stream that ends at the bound is complete,
	 * so reaching it is not enough.
	 * @return {@code true} when the stream must be cut
	 */
	boolean exceeded() {
		return this.promptTokens > this.promptBoundTokens || this.answerTokens > this.answerBoundTokens;
	}

	/**
	 * Puts the counts into an outcome. Without usage the prompt counts with its bound,
	 * since the engine may have processed all of it. The bill never exceeds the
	 * reservation.
	 * @param outcome the outcome
	 * @return the changed copy
	 */
	BackendOutcome bill(BackendOutcome outcome) {
		long prompt = (this.promptTokens >= 0) ? this.promptTokens : this.promptBoundTokens;
		long billed = Math.min(prompt + this.answerTokens, this.reservedTokens);
		return outcome.withTokens(prompt, this.answerTokens).withBill(billed, 0);
	}

	private static boolean hasContent(JsonNode chunk) {
		for (JsonNode choice : chunk.path("choices")) {
			for (Map.Entry<String, JsonNode> field : choice.path("delta").properties()) {
				if (!field.getKey().equals("role") && !isEmpty(field.getValue())) {
					return true;
				}
			}
		}
		return false;
	}

	private static boolean isEmpty(JsonNode value) {
		return value.isNull() || (value.isTextual() && value.textValue().isEmpty())
				|| (value.isContainerNode() && value.isEmpty());
	}

}
