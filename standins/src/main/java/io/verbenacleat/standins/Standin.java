package io.verbenacleat.standins;

/**
 * A running HTTP server that stands in for an external system. Safe for use by several
 * threads.
 */
public interface Standin extends AutoCloseable {

	/**
	 * Returns the base URL.
	 * @return the URL with scheme and port, without a trailing slash
	 */
	String url();

	/**
	 * Stops the server. Delayed answers that are still waiting are not sent.
	 */
	@Override
	void close();

}
