package io.verbenacleat.core.config;

/**
 * A model that callers may use. Immutable.
 *
 * @param name the name that callers give as the model
 * @param maxAnswerTokens the maximum length of an answer that a caller may request, in
 * tokens
 * @param defaultMaxAnswerTokens the maximum length of an answer if the caller gives none,
 * in tokens
 * @param imageTokens the maximum number of tokens that one image in a prompt costs
 * @param overrunTokens the tokens reserved in addition to the maximum length of the
 * answer, for tokens in flight when a stream is cut
 */
public record ModelConfig(String name, int maxAnswerTokens, int defaultMaxAnswerTokens, int imageTokens,
		int overrunTokens) {

	/**
	 * Returns a copy of this model with another name.
	 * @param newName the name
	 * @return the changed copy
	 */
	ModelConfig withName(String newName) {
		return new ModelConfig(newName, this.maxAnswerTokens, this.defaultMaxAnswerTokens, this.imageTokens,
				this.overrunTokens);
	}

}
