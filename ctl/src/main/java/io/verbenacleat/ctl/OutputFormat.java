package io.verbenacleat.ctl;

/**
 * The forms in which commands print their result.
 */
public enum OutputFormat {

	/** Lines for people. */
	TEXT,

	/** One JSON value. */
	JSON

}
