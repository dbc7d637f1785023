package io.verbenacleat.core.platform;

/**
 * One row of the table service as it was read. Immutable.
 *
 * @param key the key
 * @param version the version, 0 for an absent row; raised by the service at each write
 * @param json the value, a JSON text; empty for an absent row
 */
public record Row(String key, long version, String json) {

	/**
	 * Returns the row that stands for an absent key.
	 * @param key the key
	 * @return a row of version 0
	 */
	public static Row absent(String key) {
		return new Row(key, 0, "");
	}

	/**
	 * Returns whether the row exists.
	 * @return {@code true} when the version is over 0
	 */
	public boolean exists() {
		return this.version > 0;
	}

}
