package io.verbenacleat.entry.holder;

import io.verbenacleat.core.member.Member;

/**
 * A holder and how it is reached. Immutable.
 *
 * @param incarnation the identity of the holder
 * @param address its gRPC address, host:port
 */
record HolderAddress(String incarnation, String address) {

	static HolderAddress of(Member entry) {
		return new HolderAddress(entry.incarnation(), entry.address());
	}

}
