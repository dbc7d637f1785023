package io.verbenacleat.core.json;

import org.jspecify.annotations.Nullable;

/**
 * Thrown when a text is not valid JSON for the expected type.
 */
public final class JsonFormatException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message the message
	 * @param cause the cause, or {@code null}
	 */
	public JsonFormatException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
