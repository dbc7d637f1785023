package io.verbenacleat.ctl;

/**
 * The formats in which commands print their results.
 */
public enum OutputFormat {

	/** Lines of text. */
	TEXT,

	/** One JSON value. */
	JSON

}
