package io.verbenacleat.agent.engine;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.verbenacleat.agent.order.BackendOutcome;
import io.verbenacleat.proto.v1.ExecuteRequest;

/**
 * Counts the tokens of one chat completion stream. A chunk with usage raises the counts
 * to the reported ones; any other chunk with content adds one answer token. Counts never
 * decrease. Not safe for use by several threads.
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
	 * Returns whether the prompt or the answer exceeds its bound. A stream that ends
	 * exactly at its bound is complete.
	 * @return {@code true} when the stream must be cut off
	 */
	boolean exceeded() {
		return this.promptTokens > this.promptBoundTokens || this.answerTokens > this.answerBoundTokens;
	}

	/**
	 * Adds the counts and the billed tokens to an outcome. Without reported usage, the
	 * prompt is billed at its bound, because the engine may have processed all of it. The
	 * billed tokens never exceed the reservation.
	 * @param outcome the outcome
	 * @return a copy with the counts
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
