package io.verbenacleat.core.daemon;

/**
 * The exit codes of all programs.
 */
public enum ExitCode {

	/** Done. */
	DONE(0),

	/** Failed. */
	FAILED(1),

	/** Bad usage or settings; nothing was started. */
	USAGE(2);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	/**
	 * Returns the number that the process exits with.
	 * @return the number
	 */
	public int code() {
		return this.code;
	}

}
