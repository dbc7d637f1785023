package io.verbenacleat.core.platform;

import org.jspecify.annotations.Nullable;

/**
 * A call to the platform that failed.
 */
public abstract class PlatformException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what failed
	 * @param cause the cause, or {@code null}
	 */
	protected PlatformException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
