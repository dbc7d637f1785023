package io.verbenacleat.core.json;

import org.jspecify.annotations.Nullable;

/**
 * A text that is not the JSON that was expected.
 */
public final class JsonFormatException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what was found
	 * @param cause the cause, or {@code null}
	 */
	public JsonFormatException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
