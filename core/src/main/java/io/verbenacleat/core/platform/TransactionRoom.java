package io.verbenacleat.core.platform;

/**
 * The room that is left in a transaction while rows are chosen for it. Not thread safe.
 *
 * <pre>{@code
 * TransactionRoom room = new TransactionRoom(store.limits());
 * for (Change change : changes) {
 *     if (!room.tryPut(change.key(), change.bytes())) {
 *         break;
 *     }
 *     selected.add(change);
 * }
 * }</pre>
 */
public final class TransactionRoom {

	private static final int ENTRIES_PER_ROW = 2;

	private int entries;

	private int bytes;

	/**
	 * Creates the room of an empty transaction.
	 * @param limits the bounds of the transaction
	 */
	public TransactionRoom(TransactionLimits limits) {
		this.entries = limits.maxEntries();
		this.bytes = limits.maxBytes();
	}

	/**
	 * Takes the room of a row that is put on condition of its version, if there is any.
	 * @param key the key
	 * @param valueBytes an upper bound of the size of its value in bytes
	 * @return {@code false} if the row does not fit; nothing is taken then
	 */
	public boolean tryPut(String key, int valueBytes) {
		int needed = TransactionLimits.rowBytes(key, valueBytes);
		if (this.entries < ENTRIES_PER_ROW || this.bytes < needed) {
			return false;
		}
		this.entries -= ENTRIES_PER_ROW;
		this.bytes -= needed;
		return true;
	}

}
