package io.verbenacleat.bench.evenload;

import java.util.List;

/**
 * The conditions of one run. Immutable.
 *
 * @param name the name in the results
 * @param routers the number of routers
 * @param servers the number of servers
 * @param engine the speed of the engines
 * @param kinds the kinds of requests
 * @param load the request rate as a multiple of the rates of the kinds
 * @param lostReports the fraction of reports that are lost
 */
record LoadCase(String name, int routers, int servers, EngineSpeed engine, List<PromptKind> kinds, double load,
		double lostReports) {

	/**
	 * The speed of an engine of factor 1. Immutable.
	 *
	 * @param stepUs the duration of a step without requests, in microseconds
	 * @param runningUs the duration that each running request adds to a step
	 * @param promptTokensPerMs the prompt tokens that are read per millisecond
	 */
	record EngineSpeed(double stepUs, double runningUs, double promptTokensPerMs) {
	}

}
