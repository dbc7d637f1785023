package io.verbenacleat.core.config;

/**
 * One problem in a configuration file. Immutable.
 *
 * @param file the name of the file
 * @param path the path in the file, such as {@code servers[engine-1].url}
 * @param found the value that was found at the path
 * @param allowed the values that are allowed at the path
 */
public record ConfigProblem(String file, String path, String found, String allowed) {

	private static final int MAX_FOUND_LENGTH = 120;

	/**
	 * Creates a problem with line breaks and other control characters replaced by spaces,
	 * so that it fits in one line; a long path or value is truncated.
	 */
	public ConfigProblem {
		path = oneLine(path);
		found = oneLine(found);
		allowed = allowed.replaceAll("\\p{Cntrl}", " ");
	}

	/**
	 * Returns the problem as one line of text.
	 * @return the line
	 */
	@Override
	public String toString() {
		return this.file + ": " + this.path + ": found " + this.found + ", allowed is " + this.allowed;
	}

	private static String oneLine(String text) {
		String line = text.replaceAll("[\\p{Cntrl}\\u2028\\u2029]", " ");
		return (line.length() > MAX_FOUND_LENGTH) ? line.substring(0, MAX_FOUND_LENGTH) + "..." : line;
	}

}
