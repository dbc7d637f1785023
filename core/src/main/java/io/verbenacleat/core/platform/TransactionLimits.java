package io.verbenacleat.core.platform;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * The bounds of one transaction of a table service. A transaction over one of them is
 * rejected however often it is sent, so writers keep within them. Immutable.
 *
 * @param maxEntries the maximum number of conditions, puts and deletes together
 * @param maxBytes the maximum size of a call in bytes, as sent
 * @param maxRowBytes the maximum size of the value of a row in bytes
 * @param maxKeyBytes the maximum size of a key in bytes
 */
public record TransactionLimits(int maxEntries, int maxBytes, int maxRowBytes, int maxKeyBytes) {

	/** The bounds of a service that states no others. */
	public static final TransactionLimits STANDARD = new TransactionLimits(100, 1_000_000, 65_536, 200);

	/** No bounds, as of the table service of the own platform protocol. */
	public static final TransactionLimits NONE = new TransactionLimits(Integer.MAX_VALUE, Integer.MAX_VALUE,
			Integer.MAX_VALUE, Integer.MAX_VALUE);

	/** A row with its condition. */
	private static final int ENTRIES_PER_ROW = 2;

	/** The row of a writer and one that it shares with others. */
	private static final int MIN_ROWS = 2;

	/** Names of fields, the version and the quotes of one entry. */
	private static final int ENTRY_OVERHEAD_BYTES = 96;

	/**
	 * Returns the limits for a writer that was rejected within these ones, so that it
	 * gets on even if the service has a bound that it does not state.
	 * @return half of the entries and bytes, but room for two rows
	 */
	public TransactionLimits halved() {
		int largestRow = ENTRIES_PER_ROW * (ENTRY_OVERHEAD_BYTES + this.maxKeyBytes) + encodedBytes(this.maxRowBytes);
		return new TransactionLimits(Math.max(MIN_ROWS * ENTRIES_PER_ROW, this.maxEntries / 2),
				Math.max(MIN_ROWS * largestRow, this.maxBytes / 2), this.maxRowBytes, this.maxKeyBytes);
	}

	/**
	 * Returns the bound that a transaction exceeds.
	 * @param transaction the transaction
	 * @return a description with the actual figure, empty if the transaction is within
	 * all bounds
	 */
	public Optional<String> violation(Transaction transaction) {
		if (transaction.entries() > this.maxEntries) {
			return Optional.of(transaction.entries() + " entries, over " + this.maxEntries);
		}
		if (bytes(transaction) > this.maxBytes) {
			return Optional.of(bytes(transaction) + " bytes, over " + this.maxBytes);
		}
		for (Transaction.Put put : transaction.puts()) {
			if (utf8Length(put.json()) > this.maxRowBytes) {
				return Optional.of("a row of " + utf8Length(put.json()) + " bytes, over " + this.maxRowBytes);
			}
		}
		for (Transaction.Condition condition : transaction.conditions()) {
			if (utf8Length(condition.key()) > this.maxKeyBytes) {
				return Optional.of("a key of " + utf8Length(condition.key()) + " bytes, over " + this.maxKeyBytes);
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the size of a transaction.
	 * @param transaction the transaction
	 * @return an upper bound of the bytes as sent
	 */
	public static long bytes(Transaction transaction) {
		long bytes = 0;
		for (Transaction.Condition condition : transaction.conditions()) {
			bytes += entryBytes(condition.key());
		}
		for (Transaction.Put put : transaction.puts()) {
			bytes += entryBytes(put.key()) + encodedBytes(utf8Length(put.json()));
		}
		for (String key : transaction.deletes()) {
			bytes += entryBytes(key);
		}
		return bytes;
	}

	/**
	 * Returns the size of a row that is put on condition of its version.
	 * @param key the key
	 * @param valueBytes the size of the value in bytes
	 * @return an upper bound of the bytes as sent
	 */
	static int rowBytes(String key, int valueBytes) {
		return ENTRIES_PER_ROW * entryBytes(key) + encodedBytes(valueBytes);
	}

	private static int entryBytes(String key) {
		return ENTRY_OVERHEAD_BYTES + utf8Length(key);
	}

	// Values are sent in base64.
	private static int encodedBytes(int valueBytes) {
		return (valueBytes + 2) / 3 * 4;
	}

	private static int utf8Length(String text) {
		return text.getBytes(StandardCharsets.UTF_8).length;
	}

}
