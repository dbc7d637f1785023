package io.verbenacleat.core.member;

import org.jspecify.annotations.Nullable;

/**
 * A process could not be entered into the membership, or taken out of it.
 */
public final class RegistrationException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what failed
	 * @param cause the cause, or {@code null}
	 */
	public RegistrationException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
