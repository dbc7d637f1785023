package io.verbenacleat.core.platform;

import java.util.concurrent.CompletionException;

import org.jspecify.annotations.Nullable;

/**
 * Thrown when a call to the platform fails.
 */
public abstract class PlatformException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message the message
	 * @param cause the cause, or {@code null}
	 */
	protected PlatformException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

	/**
	 * Returns the message of a failure for a log line; a {@link CompletionException} is
	 * unwrapped.
	 * @param failure the exception of the future, or {@code null} if unknown
	 * @return the message, {@code unknown} without an exception
	 */
	public static String reason(@Nullable Throwable failure) {
		@Nullable
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		return (cause != null) ? String.valueOf(cause.getMessage()) : "unknown";
	}

}
