package io.verbenacleat.router.quarantine;

import java.util.List;

/**
 * The evidence against a part that is refused. Immutable.
 *
 * @param part the id of the part
 * @param servers the crashed servers, oldest crash first
 * @param firstNanos when the first of them crashed, by the steady clock
 * @param lastNanos when the last of them crashed, by the steady clock
 * @param failedTrials the crashes of requests by which the refused part was tried
 * @param ambiguous whether other parts are refused for the same crashes
 */
record PartStatus(String part, List<String> servers, long firstNanos, long lastNanos, int failedTrials,
		boolean ambiguous) {

	PartStatus {
		servers = List.copyOf(servers);
	}

}
