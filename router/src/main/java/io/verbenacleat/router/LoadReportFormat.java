package io.verbenacleat.router;

import java.util.OptionalInt;

/**
 * How backend servers report their load.
 */
public interface LoadReportFormat {

	/**
	 * Returns the request target of a report.
	 * @return the path
	 */
	String path();

	/**
	 * Reads a report.
	 * @param body the body of the answer
	 * @return the requests that run or wait at the server, empty when the body cannot be
	 * read
	 */
	OptionalInt parseRequestCount(byte[] body);

}
