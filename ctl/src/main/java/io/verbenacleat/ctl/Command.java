package io.verbenacleat.ctl;

import io.verbenacleat.core.account.AccountException;
import io.verbenacleat.core.config.ConfigException;
import io.verbenacleat.core.config.VersionConflictException;
import io.verbenacleat.core.daemon.UsageException;
import io.verbenacleat.core.platform.PlatformException;
import org.kohsuke.args4j.Option;

/**
 * A command with its flags and arguments, which are set once from the command line. Not
 * safe for use by several threads.
 */
abstract class Command {

	/** Whether to print the usage text and exit. */
	@Option(name = "--help", help = true, usage = "print this text")
	public boolean help;

	/** Whether to print the version and exit. */
	@Option(name = "--version", help = true, usage = "print the version")
	public boolean version;

	/** The base URL of the platform. */
	@Option(name = "--platform-url", metaVar = "URL", usage = "base URL of the platform services")
	public String platformUrl = "";

	/** The bearer token for the platform. */
	@Option(name = "--platform-token", metaVar = "TOKEN",
			usage = "bearer token for the platform; prefer the environment")
	public String platformToken = "";

	/** The format of the output. */
	@Option(name = "--output", metaVar = "FORM", usage = "text or json")
	public OutputFormat output = OutputFormat.TEXT;

	/** The author that is recorded with a change. */
	@Option(name = "--author", metaVar = "NAME", usage = "who makes the change")
	public String author = System.getProperty("user.name", "unknown");

	abstract void run(CommandContext context) throws AccountException, ConfigException, VersionConflictException,
			PlatformException, UsageException, CommandFailedException;

}
