package io.verbenacleat.core.daemon;

/**
 * The exit codes of the daemons and of the command line.
 */
public enum ExitCode {

	/** The program completed. */
	DONE(0),

	/** The program failed. */
	FAILED(1),

	/** Invalid arguments or settings; nothing was started. */
	USAGE(2);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	/**
	 * Returns the exit status of the process.
	 * @return the status
	 */
	public int code() {
		return this.code;
	}

}
