package io.verbenacleat.core.daemon;

/**
 * The version of the programs.
 */
public final class Version {

	private Version() {
	}

	/**
	 * Returns the version that the build wrote into the manifest of the archive.
	 * @return the version, or {@code development} if not run from an archive
	 */
	public static String current() {
		String version = Version.class.getPackage().getImplementationVersion();
		return (version != null) ? version : "development";
	}

}
