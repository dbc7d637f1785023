package io.verbenacleat.core.daemon;

/**
 * Tells why the end of a request body is unknown. The request must be refused and its
 * connection closed.
 */
public final class RequestFramingException extends Exception {

	private static final long serialVersionUID = 1L;

	private final boolean unsupported;

	private RequestFramingException(String message, boolean unsupported) {
		super(message);
		this.unsupported = unsupported;
	}

	static RequestFramingException invalid(String message) {
		return new RequestFramingException(message, false);
	}

	static RequestFramingException unsupported(String message) {
		return new RequestFramingException(message, true);
	}

	/**
	 * Returns whether the framing is valid, but uses a transfer coding that the server
	 * does not implement.
	 * @return {@code true} for status 501, {@code false} for 400
	 */
	public boolean isUnsupported() {
		return this.unsupported;
	}

}
