package io.verbenacleat.core.daemon;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.NamedOptionDef;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.BooleanOptionHandler;
import org.kohsuke.args4j.spi.OptionHandler;

/**
 * Sets the fields of an object with args4j annotations from flags and environment
 * variables. A flag {@code --some-thing} may also be set by the environment variable
 * {@code VERBENA_SOME_THING}; a flag on the command line takes precedence. Not safe for
 * use by several threads.
 */
public final class SettingsParser {

	private static final String ENVIRONMENT_PREFIX = "VERBENA_";

	private static final int USAGE_WIDTH = 100;

	private final String program;

	private final Map<String, String> environment;

	/**
	 * Creates a parser.
	 * @param program the name of the program, for its usage text
	 * @param environment the environment variables
	 */
	public SettingsParser(String program, Map<String, String> environment) {
		this.program = program;
		this.environment = Map.copyOf(environment);
	}

	/**
	 * Sets the fields of a settings object.
	 * @param settings the object with args4j annotations
	 * @param args the command line
	 * @throws UsageException if a setting is unknown, missing or cannot be parsed
	 */
	public void parse(Object settings, String[] args) throws UsageException {
		CmdLineParser parser = newParser(settings);
		List<String> all = new ArrayList<>(argumentsFromEnvironment(parser, args));
		all.addAll(Arrays.asList(args));
		try {
			parser.parseArgument(all);
		}
		catch (CmdLineException ex) {
			String message = (ex.getMessage() != null) ? ex.getMessage() : "wrong usage";
			throw new UsageException(message.strip().replace('\n', ' '));
		}
	}

	/**
	 * Prints the usage text with all flags.
	 * @param settings the object with args4j annotations
	 * @param out the stream to print to
	 */
	public void printUsage(Object settings, PrintStream out) {
		out.println("Usage: " + this.program + " [flags]");
		out.println("Each flag --some-thing may also be given in the environment as VERBENA_SOME_THING.");
		newParser(settings).printUsage(out);
	}

	private List<String> argumentsFromEnvironment(CmdLineParser parser, String[] args) throws UsageException {
		List<String> given = Arrays.asList(args);
		List<String> found = new ArrayList<>();
		for (OptionHandler<?> handler : parser.getOptions()) {
			String flag = ((NamedOptionDef) handler.option).name();
			String value = this.environment.get(environmentVariable(flag));
			boolean onCommandLine = given.stream().anyMatch((arg) -> arg.equals(flag) || arg.startsWith(flag + "="));
			if (value == null || onCommandLine) {
				continue;
			}
			if (handler instanceof BooleanOptionHandler) {
				if (parseBoolean(flag, value)) {
					found.add(flag);
				}
			}
			else {
				found.add(flag);
				found.add(value);
			}
		}
		return found;
	}

	private static boolean parseBoolean(String flag, String value) throws UsageException {
		return switch (value.toLowerCase(Locale.ROOT)) {
			case "true", "1" -> true;
			case "false", "0", "" -> false;
			default -> throw new UsageException(
					environmentVariable(flag) + ": found '" + value + "', allowed is true or false");
		};
	}

	private static CmdLineParser newParser(Object settings) {
		return new CmdLineParser(settings, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH));
	}

	private static String environmentVariable(String flag) {
		return ENVIRONMENT_PREFIX + flag.replaceFirst("^--", "").replace('-', '_').toUpperCase(Locale.ROOT);
	}

}
