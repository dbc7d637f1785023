package io.verbenacleat.standins;

import java.io.PrintStream;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

import io.verbenacleat.core.daemon.ExitCode;
import io.verbenacleat.core.daemon.SettingsParser;
import io.verbenacleat.core.daemon.UsageException;
import io.verbenacleat.core.daemon.Version;

/**
 * Runs a stand-in as a program: parses the command line, prints the usage text or the
 * version, and maps failures to exit codes. Not safe for use by several threads; used
 * once per process.
 */
final class StandinMain {

	private final String program;

	private final Map<String, String> environment;

	private final PrintStream out;

	private final PrintStream err;

	/**
	 * Creates a runner.
	 * @param program the name of the program, used in messages
	 * @param environment the environment variables
	 * @param out receives the usage text, the version and the URL
	 * @param err receives failures
	 */
	StandinMain(String program, Map<String, String> environment, PrintStream out, PrintStream err) {
		this.program = program;
		this.environment = environment;
		this.out = out;
		this.err = err;
	}

	/**
	 * Runs a stand-in until the process is stopped, and exits with the resulting code.
	 * @param <S> the type of the settings
	 * @param program the name of the program
	 * @param args the command line
	 * @param settings the settings to fill
	 * @param starter starts the stand-in
	 */
	static <S extends StandinSettings> void runProgram(String program, String[] args, S settings, Starter<S> starter) {
		ExitCode code = new StandinMain(program, System.getenv(), System.out, System.err).run(args, settings, starter,
				StandinMain::awaitStop);
		System.exit(code.code());
	}

	/**
	 * Parses the command line and runs a stand-in.
	 * @param <S> the type of the settings
	 * @param args the command line
	 * @param settings the settings to fill
	 * @param starter starts the stand-in
	 * @param awaitStop blocks until the stand-in is to be stopped
	 * @return the exit code
	 */
	<S extends StandinSettings> ExitCode run(String[] args, S settings, Starter<S> starter, Runnable awaitStop) {
		try {
			new SettingsParser(this.program, this.environment).parse(settings, args);
			if (settings.help) {
				new SettingsParser(this.program, this.environment).printUsage(settings, this.out);
				return ExitCode.DONE;
			}
			if (settings.version) {
				this.out.println(this.program + " " + Version.current());
				return ExitCode.DONE;
			}
			settings.check();
		}
		catch (UsageException ex) {
			this.err.println(this.program + ": " + ex.getMessage());
			return ExitCode.USAGE;
		}
		try (Standin standin = starter.start(settings)) {
			this.out.println("listening on " + standin.url());
			this.out.flush();
			awaitStop.run();
			return ExitCode.DONE;
		}
		catch (RuntimeException ex) {
			this.err.println(this.program + ": cannot start on port " + settings.port + ": " + rootCauseMessage(ex));
			return ExitCode.FAILED;
		}
	}

	private static void awaitStop() {
		CountDownLatch never = new CountDownLatch(1);
		try {
			never.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String rootCauseMessage(Throwable failure) {
		Throwable cause = failure;
		while (cause.getCause() != null) {
			cause = cause.getCause();
		}
		String message = cause.getMessage();
		return (message != null) ? message.replace('\n', ' ') : cause.getClass().getSimpleName();
	}

	/**
	 * Starts a stand-in with its settings.
	 *
	 * @param <S> the type of the settings
	 */
	@FunctionalInterface
	interface Starter<S> {

		/**
		 * Starts the stand-in.
		 * @param settings the settings
		 * @return the running stand-in
		 */
		Standin start(S settings);

	}

}
