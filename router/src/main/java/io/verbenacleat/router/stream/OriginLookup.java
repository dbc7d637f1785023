package io.verbenacleat.router.stream;

/**
 * The result of a search for the software version that began a stream. Immutable.
 *
 * @param version the version, empty unless it is known
 * @param source what the result is based on
 */
public record OriginLookup(String version, Source source) {

	/**
	 * Returns whether the version is known.
	 * @return {@code false} if the stream must not go on
	 */
	public boolean isKnown() {
		return this.source == Source.MEMORY || this.source == Source.RECORD || this.source == Source.ONLY_VERSION;
	}

	/**
	 * What a result is based on.
	 */
	public enum Source {

		/** This router began the stream or found its version before. */
		MEMORY,

		/** The record of the router that began the stream. */
		RECORD,

		/** No other version has served while the stream may have begun. */
		ONLY_VERSION,

		/** Several versions may have begun the stream. */
		UNKNOWN,

		/** The store did not respond in time. */
		UNAVAILABLE

	}

}
