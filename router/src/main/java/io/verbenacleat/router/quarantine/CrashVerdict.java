package io.verbenacleat.router.quarantine;

import java.util.Map;
import java.util.Set;

/**
 * What follows from the crash reports at one time. Immutable.
 *
 * @param refused the parts that are refused, by id
 * @param suspects the parts that are not refused but may have crashed a server, without
 * those that whole responses were received on before
 * @param accused the parts with at least one report that is not cleared
 */
record CrashVerdict(Map<String, PartStatus> refused, Set<String> suspects, Set<String> accused) {

	CrashVerdict {
		refused = Map.copyOf(refused);
		suspects = Set.copyOf(suspects);
		accused = Set.copyOf(accused);
	}

	static CrashVerdict none() {
		return new CrashVerdict(Map.of(), Set.of(), Set.of());
	}

}
