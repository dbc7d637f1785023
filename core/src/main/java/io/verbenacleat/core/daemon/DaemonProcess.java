package io.verbenacleat.core.daemon;

import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Runs a daemon as a process: settings, one clear line for each failure, exit codes, and
 * a graceful stop on SIGTERM.
 *
 * @param <S> the settings of the daemon
 */
public final class DaemonProcess<S extends CommonSettings> {

	private static final String JOOBY_SHUTDOWN_HOOK_PROPERTY = "jooby.useShutdownHook";

	private static final String LAYOUT_PROPERTY = "verbena.log.layout";

	private final String program;

	private final Supplier<S> newSettings;

	private final Starter<S> starter;

	/**
	 * Creates a process.
	 * @param program the name of the program
	 * @param newSettings makes settings with their defaults
	 * @param starter starts the daemon
	 */
	public DaemonProcess(String program, Supplier<S> newSettings, Starter<S> starter) {
		this.program = program;
		this.newSettings = newSettings;
		this.starter = starter;
	}

	/**
	 * Runs until SIGTERM and then exits with 0, or exits with another code on failure.
	 * @param args the command line
	 */
	public void run(String[] args) {
		ExitCode code = start(args, System.getenv());
		if (code != null) {
			Runtime.getRuntime().halt(code.code());
		}
	}

	/**
	 * Starts the daemon.
	 * @param args the command line
	 * @param environment the environment variables
	 * @return the exit code when the program ends at once, {@code null} when the daemon
	 * runs
	 */
	public @Nullable ExitCode start(String[] args, Map<String, String> environment) {
		SettingsParser parser = new SettingsParser(this.program, environment);
		S settings = this.newSettings.get();
		try {
			parser.parse(settings, args);
			if (settings.help) {
				// The usage text shows values as defaults, so it must not see secrets.
				parser.printUsage(this.newSettings.get(), System.out);
				return ExitCode.DONE;
			}
			if (settings.version) {
				System.out.println(this.program + " " + Version.current());
				return ExitCode.DONE;
			}
			settings.check();
		}
		catch (UsageException ex) {
			return reportFailure(ExitCode.USAGE, ex);
		}
		System.setProperty(LAYOUT_PROPERTY, settings.logLayout.name().toLowerCase(Locale.ROOT));
		// The hook of Jooby would close connections before requests in progress end.
		System.setProperty(JOOBY_SHUTDOWN_HOOK_PROPERTY, "false");
		try {
			GracefulDaemon daemon = this.starter.start(settings);
			Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "shutdown"));
			return null;
		}
		catch (UsageException ex) {
			return reportFailure(ExitCode.USAGE, ex);
		}
		catch (Exception ex) {
			return reportFailure(ExitCode.FAILED, ex);
		}
	}

	/**
	 * Ends the process itself: the exit code of a process that a signal ends would not be
	 * 0.
	 * @param daemon the running daemon
	 */
	private static void stop(GracefulDaemon daemon) {
		Logger logger = LogManager.getLogger(DaemonProcess.class);
		ExitCode code = ExitCode.FAILED;
		try {
			logger.info("Stopping");
			code = daemon.stopGracefully();
			logger.info("Stopped");
		}
		catch (RuntimeException ex) {
			logger.error("The graceful stop failed", ex);
		}
		LogManager.shutdown();
		Runtime.getRuntime().halt(code.code());
	}

	private ExitCode reportFailure(ExitCode code, Exception failure) {
		String message = failure.getMessage();
		String line = (message != null) ? message : failure.getClass().getSimpleName();
		System.err.println(this.program + ": " + line.replace('\n', ' '));
		return code;
	}

	/**
	 * A running daemon.
	 */
	@FunctionalInterface
	public interface GracefulDaemon {

		/**
		 * Takes no new work, finishes what is in progress and stops.
		 * @return the exit code
		 */
		ExitCode stopGracefully();

	}

	/**
	 * Starts a daemon.
	 *
	 * @param <S> the settings
	 */
	@FunctionalInterface
	public interface Starter<S> {

		/**
		 * Starts a daemon.
		 * @param settings checked settings
		 * @return the running daemon
		 * @throws Exception when it cannot start; the message is one clear line
		 */
		GracefulDaemon start(S settings) throws Exception;

	}

}
