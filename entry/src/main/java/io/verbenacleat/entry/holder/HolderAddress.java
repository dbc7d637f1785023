package io.verbenacleat.entry.holder;

import io.verbenacleat.core.member.Member;

/**
 * The identity and address of a holder. Immutable.
 *
 * @param incarnation the incarnation of the holder
 * @param address the gRPC address of the holder, {@code host:port}
 */
record HolderAddress(String incarnation, String address) {

	static HolderAddress of(Member entry) {
		return new HolderAddress(entry.incarnation(), entry.address());
	}

}
