package io.verbenacleat.bench.routing;

/**
 * Converts between the indexes and the names of the fake servers. Stateless.
 */
final class ServerNames {

	private static final String PREFIX = "engine-";

	private ServerNames() {
	}

	static String name(int index) {
		return PREFIX + index;
	}

	static int index(String name) {
		return Integer.parseInt(name.substring(PREFIX.length()));
	}

}
