package io.verbenacleat.standins;

/**
 * A running stand-in. Safe for use by several threads.
 */
public interface Standin extends AutoCloseable {

	/**
	 * Returns the base URL.
	 * @return the URL, without a trailing slash
	 */
	String url();

	/**
	 * Stops the stand-in.
	 */
	@Override
	void close();

}
