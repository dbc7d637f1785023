package io.verbenacleat.router;

import java.util.Optional;
import java.util.OptionalLong;

import io.verbenacleat.router.balance.LoadReport;

/**
 * Path and encoding of the load reports of backend servers.
 */
public interface LoadReportFormat {

	/**
	 * Returns the path at which a backend server serves its load report.
	 * @return the request target
	 */
	String path();

	/**
	 * Parses a load report.
	 * @param body the body of the response
	 * @return the report, empty when the body does not contain valid numbers of running
	 * and waiting requests
	 */
	Optional<LoadReport> parseReport(byte[] body);

	/**
	 * Parses when the server started, from a load report.
	 * @param body the body of the response
	 * @return the start time in milliseconds of Unix time, empty when the body does not
	 * contain one
	 */
	OptionalLong parseStartTimeMs(byte[] body);

}
