package io.verbenacleat.router.quarantine;

/**
 * What is known of one prompt part and one backend server that crashed while it handled a
 * request with that part. Reports of several routers on the same crash are merged.
 * Immutable.
 *
 * @param part the id of the part
 * @param server the incarnation of the server
 * @param ageMs the time since the crash in milliseconds, 0 or more
 * @param answered whether a router had received whole responses on the part before
 * @param cleared whether a response on the part was begun after the crash and completed,
 * or an operator has lifted the refusal
 */
public record CrashReport(String part, String server, long ageMs, boolean answered, boolean cleared) {

	private static final int MAX_SERVER_LENGTH = 200;

	/**
	 * Returns whether the fields are within their bounds.
	 * @return {@code false} for a report that must be ignored
	 */
	boolean isValid() {
		return PromptParts.isId(this.part) && this.server != null && this.server.length() <= MAX_SERVER_LENGTH
				&& this.ageMs >= 0;
	}

}
