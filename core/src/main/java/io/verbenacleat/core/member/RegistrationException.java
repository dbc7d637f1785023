package io.verbenacleat.core.member;

import org.jspecify.annotations.Nullable;

/**
 * Thrown if a process cannot be registered or deregistered, or if an agent cannot acquire
 * its fencing token.
 */
public final class RegistrationException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what failed and why
	 * @param cause the cause, or {@code null}
	 */
	public RegistrationException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
