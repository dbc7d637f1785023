package io.verbenacleat.core.platform;

import java.util.concurrent.CompletionException;

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

	/**
	 * Returns why a call failed, for a log line.
	 * @param failure what the future of the call carried, or {@code null} when it is not
	 * known
	 * @return the message of the cause
	 */
	public static String reason(@Nullable Throwable failure) {
		@Nullable
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		return (cause != null) ? String.valueOf(cause.getMessage()) : "unknown";
	}

}
