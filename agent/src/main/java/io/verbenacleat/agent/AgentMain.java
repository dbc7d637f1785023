package io.verbenacleat.agent;

import java.util.Map;
import java.util.concurrent.CountDownLatch;

import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.daemon.CommonSettings.LogLayout;
import io.verbenacleat.core.daemon.ExitCode;
import io.verbenacleat.core.daemon.SettingsParser;
import io.verbenacleat.core.daemon.UsageException;
import io.verbenacleat.core.daemon.Version;
import io.verbenacleat.core.platform.PlatformClient;
import org.jspecify.annotations.Nullable;

/**
 * The program {@code verbena-agent}.
 */
public final class AgentMain {

	private static final String PROGRAM = "verbena-agent";

	private AgentMain() {
	}

	/**
	 * Runs the program until it is told to stop.
	 * @param args the command line
	 * @throws InterruptedException when the main thread is interrupted
	 */
	public static void main(String[] args) throws InterruptedException {
		ExitCode code = run(args, System.getenv());
		if (code != null) {
			System.exit(code.code());
		}
		new CountDownLatch(1).await();
	}

	/**
	 * Starts the agent.
	 * @param args the command line
	 * @param environment the environment variables
	 * @return the exit code when the program ends at once, {@code null} when the agent
	 * runs
	 */
	static @Nullable ExitCode run(String[] args, Map<String, String> environment) {
		AgentSettings settings = new AgentSettings();
		SettingsParser parser = new SettingsParser(PROGRAM, environment);
		try {
			parser.parse(settings, args);
			if (settings.help) {
				parser.printUsage(settings, System.out);
				return ExitCode.DONE;
			}
			if (settings.version) {
				System.out.println(PROGRAM + " " + Version.current());
				return ExitCode.DONE;
			}
			settings.check();
			start(settings);
			return null;
		}
		catch (UsageException ex) {
			System.err.println(PROGRAM + ": " + ex.getMessage());
			return ExitCode.USAGE;
		}
		catch (AgentStartException ex) {
			System.err.println(PROGRAM + ": " + ex.getMessage());
			return ExitCode.FAILED;
		}
	}

	private static void start(AgentSettings settings) throws AgentStartException, UsageException {
		if (settings.logLayout == LogLayout.JSON) {
			System.setProperty("verbena.log.layout", "json");
		}
		PlatformClient platform = platform(settings);
		PrometheusRegistry registry = new PrometheusRegistry();
		JvmMetrics.builder().register(registry);
		AgentDaemon daemon = AgentDaemon.start(settings, platform.tables(), platform.hosts(), registry);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "shutdown"));
	}

	private static PlatformClient platform(AgentSettings settings) throws UsageException {
		try {
			return PlatformClient.builder(settings.platformUrl).token(settings.platformToken).build();
		}
		catch (IllegalArgumentException ex) {
			throw new UsageException("--platform-url: " + ex.getMessage());
		}
	}

	/**
	 * Stops the agent and ends the process with code 0, which a JVM that was ended by a
	 * signal does not do by itself.
	 * @param daemon the running agent
	 */
	private static void stop(AgentDaemon daemon) {
		daemon.shutdown();
		Runtime.getRuntime().halt(ExitCode.DONE.code());
	}

}
