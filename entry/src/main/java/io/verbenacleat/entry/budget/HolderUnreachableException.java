package io.verbenacleat.entry.budget;

import org.jspecify.annotations.Nullable;

/**
 * Thrown when a budget holder does not answer. The holder may or may not have executed
 * the call.
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
