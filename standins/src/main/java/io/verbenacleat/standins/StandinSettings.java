package io.verbenacleat.standins;

import io.verbenacleat.core.daemon.UsageException;
import org.kohsuke.args4j.Option;

/**
 * Settings that all stand-ins share. The command line parser fills them in before the
 * stand-in starts; not safe for use by several threads until then.
 */
public abstract class StandinSettings {

	/** Prints the usage text and exits. */
	@Option(name = "--help", help = true, usage = "print this text")
	public boolean help;

	/** Prints the version and exits. */
	@Option(name = "--version", help = true, usage = "print the version")
	public boolean version;

	/** Port on the loopback address, 0 for any free one. */
	@Option(name = "--port", metaVar = "PORT", usage = "port on 127.0.0.1 (default 0, any free port)")
	public int port;

	/**
	 * Checks the settings.
	 * @throws UsageException when a setting is out of range
	 */
	public void check() throws UsageException {
		requireRange("--port", this.port, 65_535);
	}

	/**
	 * Checks that a number is from 0 to a maximum.
	 * @param flag the name of the flag, for the message
	 * @param value the number
	 * @param max the largest allowed number
	 * @throws UsageException when the number is out of range
	 */
	protected static void requireRange(String flag, long value, long max) throws UsageException {
		if (value < 0 || value > max) {
			throw new UsageException(flag + ": found " + value + ", allowed is 0 to " + max);
		}
	}

}
