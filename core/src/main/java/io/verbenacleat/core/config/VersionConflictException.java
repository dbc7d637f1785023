package io.verbenacleat.core.config;

/**
 * Thrown if a configuration is applied on top of a version that is not the current one.
 */
public final class VersionConflictException extends Exception {

	private static final long serialVersionUID = 1L;

	private final long expectedVersion;

	private final long currentVersion;

	/**
	 * Creates an exception.
	 * @param expectedVersion the version that the operator expected, 0 for none
	 * @param currentVersion the version that is current, 0 for none
	 */
	public VersionConflictException(long expectedVersion, long currentVersion) {
		super("Expected version " + expectedVersion + " of the configuration, but version " + currentVersion
				+ " is current");
		this.expectedVersion = expectedVersion;
		this.currentVersion = currentVersion;
	}

	/**
	 * Returns the version that the operator expected.
	 * @return the number of the version, 0 for none
	 */
	public long expectedVersion() {
		return this.expectedVersion;
	}

	/**
	 * Returns the version that is current.
	 * @return the number of the version, 0 for none
	 */
	public long currentVersion() {
		return this.currentVersion;
	}

}
