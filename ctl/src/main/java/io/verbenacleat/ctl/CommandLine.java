package io.verbenacleat.ctl;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import io.verbenacleat.core.account.AccountException;
import io.verbenacleat.core.config.ConfigException;
import io.verbenacleat.core.config.VersionConflictException;
import io.verbenacleat.core.daemon.ExitCode;
import io.verbenacleat.core.daemon.SettingsParser;
import io.verbenacleat.core.daemon.UsageException;
import io.verbenacleat.core.daemon.Version;
import io.verbenacleat.core.platform.PlatformException;

/**
 * Runs the command that a command line specifies, and converts failures to messages and
 * exit codes. Not safe for use by several threads.
 */
final class CommandLine {

	private static final String PROGRAM = "verbenactl";

	private static final String OUTPUT_FLAG = "--output";

	private static final Set<String> GLOBAL_FLAGS = Set.of(OUTPUT_FLAG, "--platform-url", "--platform-token",
			"--author");

	private static final List<CommandGroup> GROUPS = List.of(AccountCommands.group(), CallerCommands.group(),
			BackendCommands.group(), ConfigCommands.group(), RequestCommands.group(), ProcessCommands.group());

	private final Map<String, String> environment;

	private final PrintStream out;

	private final PrintStream err;

	private final PlatformConnector connector;

	CommandLine(Map<String, String> environment, PrintStream out, PrintStream err, PlatformConnector connector) {
		this.environment = environment;
		this.out = out;
		this.err = err;
		this.connector = connector;
	}

	ExitCode run(String... args) {
		try {
			dispatch(moveGlobalFlagsToEnd(args));
			return ExitCode.DONE;
		}
		catch (UsageException ex) {
			ErrorReport.of(ex).print(this.err, isJson(args));
			return ExitCode.USAGE;
		}
		catch (AccountException | ConfigException | VersionConflictException | PlatformException
				| CommandFailedException ex) {
			ErrorReport.of(ex).print(this.err, isJson(args));
			return ExitCode.FAILED;
		}
		catch (RuntimeException ex) {
			String message = "Internal error: " + ex;
			new ErrorReport("internal", message, null).print(this.err, isJson(args));
			return ExitCode.FAILED;
		}
	}

	private void dispatch(List<String> args) throws AccountException, ConfigException, VersionConflictException,
			PlatformException, UsageException, CommandFailedException {
		String groupName = (args.isEmpty()) ? "" : args.get(0);
		if (handleVersionOrHelp(groupName, () -> printGroups())) {
			return;
		}
		CommandGroup group = GROUPS.stream()
			.filter((known) -> known.name().equals(groupName))
			.findFirst()
			.orElseThrow(() -> unknownCommand(groupName, GROUPS.stream().map(CommandGroup::name).toList()));
		String commandName = (args.size() < 2) ? "" : args.get(1);
		if (handleVersionOrHelp(commandName, () -> printCommands(group))) {
			return;
		}
		Supplier<Command> supplier = group.commands().get(commandName);
		if (supplier == null) {
			throw unknownCommand(groupName + " " + commandName, List.copyOf(group.commands().keySet()));
		}
		run(supplier, PROGRAM + " " + groupName + " " + commandName,
				args.subList(2, args.size()).toArray(new String[0]));
	}

	private void run(Supplier<Command> supplier, String program, String[] args) throws AccountException,
			ConfigException, VersionConflictException, PlatformException, UsageException, CommandFailedException {
		Command command = supplier.get();
		SettingsParser parser = new SettingsParser(program, this.environment);
		parser.parse(command, args);
		if (command.help) {
			// The usage text shows current values as defaults, and the parsed command
			// contains the platform token.
			parser.printUsage(supplier.get(), this.out);
		}
		else if (command.version) {
			this.out.println(Version.current());
		}
		else {
			try (CommandContext context = new CommandContext(command, this.connector,
					new Output(this.out, command.output))) {
				command.run(context);
			}
		}
	}

	private boolean handleVersionOrHelp(String arg, Runnable printHelp) {
		if (arg.equals("--help")) {
			printHelp.run();
			return true;
		}
		if (arg.equals("--version")) {
			this.out.println(Version.current());
			return true;
		}
		return false;
	}

	private void printGroups() {
		this.out.println("Usage: " + PROGRAM + " GROUP COMMAND [arguments] [flags]");
		GROUPS.forEach((group) -> this.out.println(String.format(Locale.ROOT, "  %-8s %s: %s", group.name(),
				group.summary(), String.join(", ", group.commands().keySet()))));
		this.out.println(
				"Flags of every command: --platform-url, --platform-token, --output, --author, --help, " + "--version");
	}

	private void printCommands(CommandGroup group) {
		this.out.println("Usage: " + PROGRAM + " " + group.name() + " COMMAND [arguments] [flags]");
		group.commands().keySet().forEach((name) -> this.out.println("  " + name));
	}

	private static UsageException unknownCommand(String found, List<String> allowed) {
		return new UsageException("Command: found '" + found.strip() + "', allowed is one of "
				+ String.join(", ", allowed) + "; --help shows more");
	}

	// The parser of the command reads all flags, so flags before its name move to the
	// end.
	private static List<String> moveGlobalFlagsToEnd(String[] args) {
		List<String> reordered = new ArrayList<>(Arrays.asList(args));
		int leading = 0;
		while (leading + 1 < args.length && GLOBAL_FLAGS.contains(args[leading])) {
			leading += 2;
		}
		List<String> flags = List.copyOf(reordered.subList(0, leading));
		reordered.subList(0, leading).clear();
		reordered.addAll(flags);
		return reordered;
	}

	private boolean isJson(String[] args) {
		String value = this.environment.getOrDefault("VERBENA_OUTPUT", "");
		for (int i = 0; i < args.length; i++) {
			if (args[i].equals(OUTPUT_FLAG) && i + 1 < args.length) {
				value = args[i + 1];
			}
			else if (args[i].startsWith(OUTPUT_FLAG + "=")) {
				value = args[i].substring(OUTPUT_FLAG.length() + 1);
			}
		}
		return value.equalsIgnoreCase("json");
	}

}
