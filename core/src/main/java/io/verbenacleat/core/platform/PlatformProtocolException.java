package io.verbenacleat.core.platform;

import org.jspecify.annotations.Nullable;

/**
 * Thrown when a response of the platform is invalid or unexpected, or when the platform
 * rejects a request as malformed or unauthorized. A retry does not help.
 */
public final class PlatformProtocolException extends PlatformException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message the message
	 * @param cause the cause, or {@code null}
	 */
	public PlatformProtocolException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
