package io.verbenacleat.bench.grants;

/**
 * The answer of a scheme to one request. Immutable.
 *
 * @param granted whether the request may run
 * @param holderId where its reservation stands, empty when refused
 * @param reason the reason of a refusal, empty when granted
 */
record Decision(boolean granted, String holderId, String reason) {

	static Decision granted(String holderId) {
		return new Decision(true, holderId, "");
	}

	static Decision refused(String reason) {
		return new Decision(false, "", reason);
	}

}
