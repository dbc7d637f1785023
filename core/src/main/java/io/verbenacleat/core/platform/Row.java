package io.verbenacleat.core.platform;

/**
 * A row of the table service at the time it was read. Immutable.
 *
 * @param key the key
 * @param version the version, which the service increases at each write; 0 for an absent
 * row
 * @param json the value as JSON text, empty for an absent row
 */
public record Row(String key, long version, String json) {

	/**
	 * Returns a row for an absent key.
	 * @param key the key
	 * @return a row of version 0
	 */
	public static Row absent(String key) {
		return new Row(key, 0, "");
	}

	/**
	 * Returns whether the row exists.
	 * @return {@code true} if the version is above 0
	 */
	public boolean exists() {
		return this.version > 0;
	}

}
