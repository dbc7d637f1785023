package io.verbenacleat.core.member;

import org.jspecify.annotations.Nullable;

/**
 * The row {@code process/<incarnation>}: whether a process may still write to the table
 * store. Immutable.
 *
 * @param member the process
 * @param state the state of the process
 * @param closedBy the incarnation of the process that closes or closed it, possibly
 * itself; {@code null} while it is open
 */
public record ProcessRow(Member member, State state, @Nullable String closedBy) {

	/** The prefix of the table keys. */
	public static final String KEY_PREFIX = "process/";

	/**
	 * Returns the table key of a process.
	 * @param incarnation the incarnation of the process
	 * @return the key
	 */
	public static String key(String incarnation) {
		return KEY_PREFIX + incarnation;
	}

	/**
	 * Returns a copy of this row in another state.
	 * @param newState the state
	 * @param closer the incarnation of the process that closes this one
	 * @return the changed copy
	 */
	public ProcessRow withState(State newState, String closer) {
		return new ProcessRow(this.member, newState, closer);
	}

	/**
	 * The state of a process.
	 */
	public enum State {

		/** The process runs and may write its journal. */
		OPEN,

		/** The process can no longer write; its final figures are being collected. */
		CLOSING,

		/** Terminal; the final figures of a holder are in {@code final/<incarnation>}. */
		CLOSED

	}

}
