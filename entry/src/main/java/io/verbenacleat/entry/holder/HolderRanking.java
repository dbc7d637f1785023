package io.verbenacleat.entry.holder;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import com.google.common.hash.Hashing;
import io.verbenacleat.core.member.Member;

/**
 * Ranks entries for an account by rendezvous hashing: each node finds the same order from
 * the same members, and a member that comes or goes moves only its own accounts.
 */
final class HolderRanking {

	private HolderRanking() {
	}

	/**
	 * Ranks entries.
	 * @param accountId the account
	 * @param entries the entries
	 * @return the entries, the first choice first
	 */
	static List<Member> rank(String accountId, Collection<Member> entries) {
		return entries.stream()
			.sorted(Comparator.comparingLong((Member entry) -> weight(accountId, entry))
				.thenComparing(Member::incarnation))
			.toList();
	}

	private static long weight(String accountId, Member entry) {
		return Hashing.murmur3_128()
			.newHasher()
			.putString(accountId, StandardCharsets.UTF_8)
			.putChar('/')
			.putString(entry.incarnation(), StandardCharsets.UTF_8)
			.hash()
			.asLong();
	}

}
