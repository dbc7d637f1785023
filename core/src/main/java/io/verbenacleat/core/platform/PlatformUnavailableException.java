package io.verbenacleat.core.platform;

import org.jspecify.annotations.Nullable;

/**
 * Thrown when the platform cannot be reached, does not respond in time, or rejects a
 * request temporarily. A later retry may succeed.
 */
public final class PlatformUnavailableException extends PlatformException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message the message
	 * @param cause the cause, or {@code null}
	 */
	public PlatformUnavailableException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
