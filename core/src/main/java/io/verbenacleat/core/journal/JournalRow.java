package io.verbenacleat.core.journal;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * A batch of receipts of one holder: the row {@code journal/<holder>/<sequence>}, or the
 * row {@code final/<holder>} with the last batch of a closed holder and the totals of all
 * its accounts. Immutable.
 *
 * @param receipts the receipts of the batch
 * @param spentByAccount spent tokens by account, cumulative since the start of the holder
 * and including this batch
 * @param heldByAccount held tokens by account, cumulative in the same way
 * @param restHeld whether the remaining tokens of each grant of the holder are held,
 * because a lost agent may have spent them; set in final rows only
 * @param lostAgents the incarnations of lost agents; set in final rows only
 * @param accountedAgents ended agents whose receipts are all in this row and earlier
 * rows; set in journal rows only, empty in rows of older versions
 */
public record JournalRow(List<JournalReceipt> receipts, Map<String, Long> spentByAccount,
		Map<String, Long> heldByAccount, boolean restHeld, List<String> lostAgents, List<String> accountedAgents) {

	/** The prefix of the table keys of all journal rows. */
	public static final String KEY_PREFIX = "journal/";

	/** The prefix of the table keys of all final rows. */
	public static final String FINAL_KEY_PREFIX = "final/";

	/**
	 * Creates a row with copies of the collections; {@code null} becomes empty.
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
	 * Creates a row without lost or accounted agents, and without held remaining tokens
	 * of grants.
	 * @param receipts the receipts
	 * @param spentByAccount the spent tokens by account
	 * @param heldByAccount the held tokens by account
	 */
	public JournalRow(List<JournalReceipt> receipts, Map<String, Long> spentByAccount,
			Map<String, Long> heldByAccount) {
		this(receipts, spentByAccount, heldByAccount, false, List.of(), List.of());
	}

	/**
	 * Returns the table key of a journal row; the keys of a holder sort by sequence
	 * number.
	 * @param holder the holder incarnation
	 * @param sequence the sequence number of the batch, from 1
	 * @return the key
	 */
	public static String key(String holder, long sequence) {
		return prefix(holder) + String.format("%012d", sequence);
	}

	/**
	 * Returns the prefix of the table keys of the journal of a holder.
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
