package io.verbenacleat.entry.budget;

import org.jspecify.annotations.Nullable;

/**
 * A holder did not answer; whether it acted is not known.
 */
public final class HolderUnreachableException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param holder the holder incarnation or address
	 * @param cause the cause, or {@code null}
	 */
	public HolderUnreachableException(String holder, @Nullable Throwable cause) {
		super("The budget holder " + holder + " did not answer", cause);
	}

}
