package io.verbenacleat.core.journal;

import java.util.List;
import java.util.Map;

/**
 * The row {@code journal/<holder>/<sequence>}, a batch of receipts, or
 * {@code final/<holder>}, the last batch of a closed holder with the figures of all its
 * accounts. Immutable.
 *
 * @param receipts the receipts of the batch
 * @param spentByAccount spent tokens by account, cumulative over the life of the holder,
 * this batch included
 * @param heldByAccount held tokens by account, cumulative likewise
 */
public record JournalRow(List<JournalReceipt> receipts, Map<String, Long> spentByAccount,
		Map<String, Long> heldByAccount) {

	/** The prefix of the table keys of all journals. */
	public static final String KEY_PREFIX = "journal/";

	/** The prefix of the table keys of all final rows. */
	public static final String FINAL_KEY_PREFIX = "final/";

	/**
	 * Creates a row from copies.
	 */
	public JournalRow {
		receipts = (receipts != null) ? List.copyOf(receipts) : List.of();
		spentByAccount = (spentByAccount != null) ? Map.copyOf(spentByAccount) : Map.of();
		heldByAccount = (heldByAccount != null) ? Map.copyOf(heldByAccount) : Map.of();
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
