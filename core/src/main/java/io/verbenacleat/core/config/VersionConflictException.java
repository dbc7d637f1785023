package io.verbenacleat.core.config;

/**
 * A configuration was applied on a version that is not the current one.
 */
public final class VersionConflictException extends Exception {

	private static final long serialVersionUID = 1L;

	private final long expectedVersion;

	private final long currentVersion;

	/**
	 * Creates an exception.
	 * @param expectedVersion the version that the operator expected
	 * @param currentVersion the version that is current
	 */
	public VersionConflictException(long expectedVersion, long currentVersion) {
		super("Expected version " + expectedVersion + " of the configuration, but version " + currentVersion
				+ " is current");
		this.expectedVersion = expectedVersion;
		this.currentVersion = currentVersion;
	}

	/**
	 * Returns the version that the operator expected.
	 * @return the version
	 */
	public long expectedVersion() {
		return this.expectedVersion;
	}

	/**
	 * Returns the version that is current.
	 * @return the version
	 */
	public long currentVersion() {
		return this.currentVersion;
	}

}
