package io.verbenacleat.core.journal;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * The row {@code journal/<holder>/<sequence>}, a batch of receipts, or
 * {@code final/<holder>}, the last batch of a closed holder with the figures of all its
 * accounts. Immutable.
 *
 * @param receipts the receipts of the batch
 * @param spentByAccount spent tokens by account, cumulative over the life of the holder,
 * this batch included
 * @param heldByAccount held tokens by account, cumulative likewise
 * @param restHeld whether the rest of each grant of the holder is held, because an agent
 * was lost that may have spent it; set in final rows only
 * @param lostAgents the agents that were lost, in final rows only
 * @param accountedAgents ended agents of which this row and the earlier rows hold every
 * receipt; in journal rows only, empty in rows of older versions
 */
public record JournalRow(List<JournalReceipt> receipts, Map<String, Long> spentByAccount,
		Map<String, Long> heldByAccount, boolean restHeld, List<String> lostAgents, List<String> accountedAgents) {

	/** The prefix of the table keys of all journals. */
	public static final String KEY_PREFIX = "journal/";

	/** The prefix of the table keys of all final rows. */
	public static final String FINAL_KEY_PREFIX = "final/";

	/**
	 * Creates a row from copies.
	 */
	@JsonCreator
	public JournalRow {
		receipts = (receipts != null) ? List.copyOf(receipts) : List.of();
		spentByAccount = (spentByAccount != null) ? Map.copyOf(spentByAccount) : Map.of();
		heldByAccount = (heldByAccount != null) ? Map.copyOf(heldByAccount) : Map.of();
		lostAgents = (lostAgents != null) ? List.copyOf(lostAgents) : List.of();
		accountedAgents = (accountedAgents != null) ? List.copyOf(accountedAgents) : List.of();
	}

	/**
	 * Creates a row without lost agents.
	 * @param receipts the receipts
	 * @param spentByAccount the spent tokens by account
	 * @param heldByAccount the held tokens by account
	 */
	public JournalRow(List<JournalReceipt> receipts, Map<String, Long> spentByAccount,
			Map<String, Long> heldByAccount) {
		this(receipts, spentByAccount, heldByAccount, false, List.of(), List.of());
	}

	/**
	 * Returns the table key of one batch; keys sort by sequence.
	 * @param holder the holder incarnation
	 * @param sequence the number of the batch, from 1
	 * @return the key
	 */
	public static String key(String holder, long sequence) {
		return prefix(holder) + String.format("%012d", sequence);
	}

	/**
	 * Returns the prefix of the table keys of one journal.
	 * @param holder the holder incarnation
	 * @return the prefix
	 */
	public static String prefix(String holder) {
		return KEY_PREFIX + holder + "/";
	}

	/**
	 * Returns the table key of the final row of a holder.
	 * @param holder the holder incarnation
	 * @return the key
	 */
	public static String finalKey(String holder) {
		return FINAL_KEY_PREFIX + holder;
	}

}
