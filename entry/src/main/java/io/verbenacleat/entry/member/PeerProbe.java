package io.verbenacleat.entry.member;

import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.member.Member;

/**
 * Checks whether other entries are alive. Implementations are safe for use by several
 * threads.
 */
@FunctionalInterface
public interface PeerProbe {

	/**
	 * Probes the process at the address of an entry.
	 * @param peer the entry
	 * @return the incarnation that responded, which differs from the probed one after a
	 * restart; fails if there was no response in time
	 */
	CompletableFuture<String> probe(Member peer);

}
