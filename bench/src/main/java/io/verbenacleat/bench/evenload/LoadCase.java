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
 * @param faults the faults during the run
 * @param durationUs the measured time after the warm-up, in microseconds
 */
record LoadCase(String name, int routers, int servers, EngineSpeed engine, List<PromptKind> kinds, double load,
		Faults faults, long durationUs) {

	/**
	 * The faults during a run. Immutable.
	 *
	 * @param lostReports the fraction of reports that are lost
	 * @param lateReports the fraction of reports that arrive up to four seconds late, so
	 * that newer ones overtake them
	 * @param routersRestart whether each router ends once and another one joins
	 * @param serversRestart whether each third server ends once and restarts
	 */
	record Faults(double lostReports, double lateReports, boolean routersRestart, boolean serversRestart) {

		static final Faults NONE = new Faults(0, 0, false, false);

	}

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
