package io.verbenacleat.core.config;

/**
 * A model that callers may name. Immutable.
 *
 * @param name the name
 * @param maxAnswerTokens the largest answer that a caller may ask for
 * @param defaultMaxAnswerTokens the answer bound when the caller gives none
 * @param imageTokens the most tokens that one image in a prompt costs
 * @param overrunTokens tokens reserved beyond the answer bound, for those in flight when
 * a stream is cut
 */
public record ModelConfig(String name, int maxAnswerTokens, int defaultMaxAnswerTokens, int imageTokens,
		int overrunTokens) {

	/**
	 * Returns this model under another name.
	 * @param newName the name
	 * @return the changed copy
	 */
	ModelConfig withName(String newName) {
		return new ModelConfig(newName, this.maxAnswerTokens, this.defaultMaxAnswerTokens, this.imageTokens,
				this.overrunTokens);
	}

}
