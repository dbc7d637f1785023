package io.verbenacleat.core.member;

import org.jspecify.annotations.Nullable;

/**
 * The row {@code process/<incarnation>}: whether a process may still write. Immutable.
 *
 * @param member the process
 * @param state the state
 * @param closedBy the incarnation that closes or closed the process, or {@code null}
 */
public record ProcessRow(Member member, State state, @Nullable String closedBy) {

	/** The prefix of the table keys. */
	public static final String KEY_PREFIX = "process/";

	/**
	 * Returns the table key of a process.
	 * @param incarnation the process
	 * @return the key
	 */
	public static String key(String incarnation) {
		return KEY_PREFIX + incarnation;
	}

	/**
	 * Returns this row in another state.
	 * @param newState the state
	 * @param closer the incarnation that closes the process
	 * @return the changed copy
	 */
	public ProcessRow withState(State newState, String closer) {
		return new ProcessRow(this.member, newState, closer);
	}

	/**
	 * The state of a process.
	 */
	public enum State {

		/** It runs and may write its journal. */
		OPEN,

		/** It is being closed: it can write no more, its figures are being collected. */
		CLOSING,

		/** Its final figures stand in the row {@code final/<incarnation>}. */
		CLOSED

	}

}
