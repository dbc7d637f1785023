package io.verbenacleat.standins;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The parts of a chat completion request that determine the answer of the engine
 * stand-in. Immutable.
 *
 * @param model the name of the model or adapter
 * @param promptTokens the number of words in all messages; each counts as one token
 * @param word the prefix of each token of the answer
 * @param answerTokens the length of the answer without a bound
 * @param maxTokens the largest number of tokens of the answer, {@link Integer#MAX_VALUE}
 * when the request has no bound
 * @param stream whether the answer is streamed
 * @param includeUsage whether the stream ends with the usage
 * @param continuousUsage whether each chunk carries the usage
 */
record ChatRequest(String model, int promptTokens, String word, int answerTokens, int maxTokens, boolean stream,
		boolean includeUsage, boolean continuousUsage) {

	private static final Pattern ID = Pattern.compile("(?:^|\\s)id=(\\S+)");

	private static final Pattern ANSWER = Pattern.compile("(?:^|\\s)answer=([0-9]{1,7})(?=\\s|$)");

	private static final int DERIVED_WORD_LENGTH = 8;

	/**
	 * Reads a request.
	 * @param body the JSON body
	 * @param defaultAnswerTokens the length of the answer when the last user message has
	 * no {@code answer=<n>}
	 * @return the request
	 * @throws IllegalArgumentException when the model or the messages are missing, or the
	 * bound is less than 1
	 */
	static ChatRequest of(JsonNode body, int defaultAnswerTokens) {
		String model = body.path("model").asText("");
		JsonNode messages = body.path("messages");
		if (model.isEmpty() || !messages.isArray() || messages.isEmpty()) {
			throw new IllegalArgumentException("A chat completion needs a model and messages");
		}
		int promptTokens = 0;
		String lastUserText = "";
		for (JsonNode message : messages) {
			String text = text(message.path("content"));
			promptTokens += countWords(text);
			if (message.path("role").asText("").equals("user")) {
				lastUserText = text;
			}
		}
		JsonNode options = body.path("stream_options");
		return new ChatRequest(model, promptTokens, word(lastUserText), answerTokens(lastUserText, defaultAnswerTokens),
				maxTokens(body), body.path("stream").asBoolean(false), options.path("include_usage").asBoolean(false),
				options.path("continuous_usage_stats").asBoolean(false));
	}

	/**
	 * Returns one token of the answer; the answer is the concatenation of its tokens.
	 * @param index the position of the token, from 0
	 * @return the text of the token, with a leading space except at position 0
	 */
	String token(int index) {
		return ((index == 0) ? "" : " ") + this.word + "-" + index;
	}

	private static String text(JsonNode content) {
		if (!content.isArray()) {
			return content.asText("");
		}
		StringBuilder text = new StringBuilder();
		for (JsonNode part : content) {
			text.append(part.path("text").asText("")).append('\n');
		}
		return text.toString();
	}

	private static int countWords(String text) {
		String stripped = text.strip();
		return (stripped.isEmpty()) ? 0 : stripped.split("\\s+").length;
	}

	private static String word(String text) {
		Matcher matcher = ID.matcher(text);
		return (matcher.find()) ? matcher.group(1) : PlatformWeights.sha256(text).substring(0, DERIVED_WORD_LENGTH);
	}

	private static int answerTokens(String text, int defaultAnswerTokens) {
		Matcher matcher = ANSWER.matcher(text);
		return (matcher.find()) ? Integer.parseInt(matcher.group(1)) : defaultAnswerTokens;
	}

	private static int maxTokens(JsonNode body) {
		JsonNode newer = body.path("max_completion_tokens");
		JsonNode bound = (newer.isNumber()) ? newer : body.path("max_tokens");
		int maxTokens = (bound.isNumber()) ? bound.asInt() : Integer.MAX_VALUE;
		if (maxTokens < 1) {
			throw new IllegalArgumentException("max_tokens: found " + maxTokens + ", allowed is 1 or more");
		}
		return maxTokens;
	}

}
