package io.verbenacleat.entry.routing;

import java.util.Arrays;

/**
 * The hashes of the prefix of a prompt, one for each block of fixed size. The hash of a
 * block covers all blocks before it too, so two prompts have the same hash only if their
 * prefixes up to that block are equal. The prompt itself is not retained. Immutable.
 */
public final class PrefixKey {

	/** The key of a request without a prompt. */
	public static final PrefixKey NONE = new PrefixKey(new long[0]);

	private final long[] blockHashes;

	private PrefixKey(long[] blockHashes) {
		this.blockHashes = blockHashes;
	}

	/**
	 * Creates a key from block hashes.
	 * @param blockHashes the hashes in the order of the blocks; copied
	 * @return the key
	 */
	public static PrefixKey of(long... blockHashes) {
		return (blockHashes.length == 0) ? NONE : new PrefixKey(blockHashes.clone());
	}

	/**
	 * Returns whether the key has no blocks.
	 * @return {@code true} for {@link #NONE}
	 */
	public boolean isEmpty() {
		return this.blockHashes.length == 0;
	}

	/**
	 * Returns the number of blocks.
	 * @return the number of blocks, zero or more
	 */
	public int size() {
		return this.blockHashes.length;
	}

	/**
	 * Returns the hash of a block and all blocks before it.
	 * @param index the index of the block, from 0 to {@code size() - 1}
	 * @return the hash
	 */
	public long blockHash(int index) {
		return this.blockHashes[index];
	}

	/**
	 * Returns the hash of the first blocks, or of all blocks when there are fewer.
	 * @param depth the number of blocks, 1 or more
	 * @return the hash
	 * @throws IllegalStateException if the key has no blocks
	 */
	public long prefixHash(int depth) {
		if (isEmpty()) {
			throw new IllegalStateException("The prefix key has no blocks");
		}
		return this.blockHashes[Math.min(depth, this.blockHashes.length) - 1];
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof PrefixKey key && Arrays.equals(this.blockHashes, key.blockHashes);
	}

	@Override
	public int hashCode() {
		return Arrays.hashCode(this.blockHashes);
	}

	@Override
	public String toString() {
		return "PrefixKey of " + this.blockHashes.length + " blocks";
	}

}
