package io.verbenacleat.ctl;

/**
 * Connects to the platform. Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface PlatformConnector {

	/**
	 * Connects to the platform.
	 * @param url the base URL
	 * @param token the bearer token, empty for none
	 * @return the connection
	 * @throws IllegalArgumentException when the URL is not valid
	 */
	PlatformConnection connect(String url, String token);

}
