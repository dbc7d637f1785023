package io.verbenacleat.entry.holder;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import com.google.common.hash.Hashing;
import io.verbenacleat.core.member.Member;

/**
 * Ranks entries for an account by rendezvous hashing. All nodes compute the same order
 * from the same members, and adding or removing a member moves only the accounts of that
 * member.
 */
final class HolderRanking {

	private HolderRanking() {
	}

	/**
	 * Ranks entries for an account.
	 * @param accountId the account
	 * @param entries the entries
	 * @return the entries in order of preference
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
