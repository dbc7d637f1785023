package io.verbenacleat.bench.grants;

/**
 * The answer of a scheme to one request. Immutable.
 *
 * @param granted whether the request may run
 * @param place where its reservation stands, empty when refused
 * @param reason the reason of a refusal, empty when granted
 */
record Decision(boolean granted, String place, String reason) {

	static Decision granted(String place) {
		return new Decision(true, place, "");
	}

	static Decision refused(String reason) {
		return new Decision(false, "", reason);
	}

}
