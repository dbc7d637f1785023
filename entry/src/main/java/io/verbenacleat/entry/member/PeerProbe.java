package io.verbenacleat.entry.member;

import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.member.Member;

/**
 * Asks other entries for a sign of life. Implementations are safe for use by several
 * threads.
 */
@FunctionalInterface
public interface PeerProbe {

	/**
	 * Asks the process at the address of an entry.
	 * @param peer the entry
	 * @return the incarnation that answered, which is another one after a restart; fails
	 * when none answered in time
	 */
	CompletableFuture<String> probe(Member peer);

}
