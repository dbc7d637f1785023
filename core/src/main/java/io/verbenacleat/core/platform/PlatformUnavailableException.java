package io.verbenacleat.core.platform;

import org.jspecify.annotations.Nullable;

/**
 * The platform could not be reached, did not answer in time, or refused for the moment.
 */
public final class PlatformUnavailableException extends PlatformException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what failed
	 * @param cause the cause, or {@code null}
	 */
	public PlatformUnavailableException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
