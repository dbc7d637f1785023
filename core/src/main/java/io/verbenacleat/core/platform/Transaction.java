package io.verbenacleat.core.platform;

import java.util.ArrayList;
import java.util.List;

/**
 * A conditional write that the table service applies wholly or not at all. Immutable;
 * created by {@link #builder}.
 *
 * <pre>{@code
 * Transaction.builder()
 *     .putIf(row.key(), row.version(), json)
 *     .insert("topup/a/1", "{}")
 *     .build();
 * }</pre>
 *
 * @param conditions the versions that rows must have
 * @param puts the rows to write
 * @param deletes the keys to delete
 */
public record Transaction(List<Condition> conditions, List<Put> puts, List<String> deletes) {

	/**
	 * Creates a transaction with copies of the lists.
	 */
	public Transaction {
		conditions = List.copyOf(conditions);
		puts = List.copyOf(puts);
		deletes = List.copyOf(deletes);
	}

	/**
	 * Returns the number of entries, which services bound.
	 * @return the number of conditions, puts and deletes
	 */
	public int entries() {
		return this.conditions.size() + this.puts.size() + this.deletes.size();
	}

	/**
	 * Returns an empty builder.
	 * @return a new builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * A version that a row must have for the transaction to take effect.
	 *
	 * @param key the key
	 * @param version the version, 0 for absent
	 */
	public record Condition(String key, long version) {
	}

	/**
	 * A row to write.
	 *
	 * @param key the key
	 * @param json the value as JSON text
	 */
	public record Put(String key, String json) {
	}

	/**
	 * Builds a transaction. Not safe for use by several threads.
	 */
	public static final class Builder {

		private final List<Condition> conditions = new ArrayList<>();

		private final List<Put> puts = new ArrayList<>();

		private final List<String> deletes = new ArrayList<>();

		private Builder() {
		}

		/**
		 * Adds the condition that a row has a version.
		 * @param key the key
		 * @param version the version, 0 for absent
		 * @return this builder
		 */
		public Builder require(String key, long version) {
			this.conditions.add(new Condition(key, version));
			return this;
		}

		/**
		 * Writes a row on condition that it has a version.
		 * @param key the key
		 * @param version the version, 0 for absent
		 * @param json the value as JSON text
		 * @return this builder
		 */
		public Builder putIf(String key, long version, String json) {
			this.puts.add(new Put(key, json));
			return require(key, version);
		}

		/**
		 * Writes a row on condition that it is absent.
		 * @param key the key
		 * @param json the value as JSON text
		 * @return this builder
		 */
		public Builder insert(String key, String json) {
			return putIf(key, 0, json);
		}

		/**
		 * Deletes a row on condition that it has a version.
		 * @param key the key
		 * @param version the version
		 * @return this builder
		 */
		public Builder deleteIf(String key, long version) {
			this.deletes.add(key);
			return require(key, version);
		}

		/**
		 * Builds the transaction.
		 * @return a new transaction
		 */
		public Transaction build() {
			return new Transaction(this.conditions, this.puts, this.deletes);
		}

	}

}
