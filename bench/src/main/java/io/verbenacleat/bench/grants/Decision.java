package io.verbenacleat.bench.grants;

/**
 * The decision of a scheme on one request. Immutable.
 *
 * @param granted whether the request may run
 * @param holderId the holder of its reservation, empty if refused
 * @param reason the reason for the refusal, empty if granted
 */
record Decision(boolean granted, String holderId, String reason) {

	static Decision granted(String holderId) {
		return new Decision(true, holderId, "");
	}

	static Decision refused(String reason) {
		return new Decision(false, "", reason);
	}

}
