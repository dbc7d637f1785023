package io.verbenacleat.core.platform;

import org.jspecify.annotations.Nullable;

/**
 * The platform answered something that the client does not understand, or refused a
 * request as malformed or unauthorized.
 */
public final class PlatformProtocolException extends PlatformException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what failed
	 * @param cause the cause, or {@code null}
	 */
	public PlatformProtocolException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
