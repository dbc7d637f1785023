package io.verbenacleat.core.daemon;

import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Runs a daemon as a process: reads its settings, starts it, stops it gracefully on
 * SIGTERM, and sets the exit code. A failure to start is reported as one line on standard
 * error.
 *
 * @param <S> the type of the settings of the daemon
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
	 * @param newSettings creates settings with default values
	 * @param starter starts the daemon
	 */
	public DaemonProcess(String program, Supplier<S> newSettings, Starter<S> starter) {
		this.program = program;
		this.newSettings = newSettings;
		this.starter = starter;
	}

	/**
	 * Starts the daemon and returns while it runs; on SIGTERM, the process stops the
	 * daemon and exits. If the daemon is not started, the process exits at once.
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
	 * @return the exit code if the program ends at once, {@code null} if the daemon runs
	 */
	public @Nullable ExitCode start(String[] args, Map<String, String> environment) {
		SettingsParser parser = new SettingsParser(this.program, environment);
		S settings = this.newSettings.get();
		try {
			parser.parse(settings, args);
			if (settings.help) {
				// The usage text prints field values as defaults, which would reveal
				// secrets.
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
		// The shutdown hook of Jooby would close connections with requests in progress.
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
	 * Stops the daemon and halts the JVM, because the exit code after a signal would
	 * otherwise not be 0.
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
		 * Rejects new requests, completes those in progress, and stops.
		 * @return the exit code of the process
		 */
		ExitCode stopGracefully();

	}

	/**
	 * Starts a daemon.
	 *
	 * @param <S> the type of the settings
	 */
	@FunctionalInterface
	public interface Starter<S> {

		/**
		 * Starts a daemon.
		 * @param settings the validated settings
		 * @return the running daemon
		 * @throws Exception if the daemon cannot start; its message is printed as one
		 * line
		 */
		GracefulDaemon start(S settings) throws Exception;

	}

}
