package io.verbenacleat.agent;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.daemon.DaemonProcess;
import io.verbenacleat.core.daemon.UsageException;
import io.verbenacleat.core.platform.PlatformClient;

/**
 * The entry point of the program {@code verbena-agent}.
 */
public final class AgentMain {

	private AgentMain() {
	}

	/**
	 * Runs the daemon.
	 * @param args the command line arguments
	 */
	public static void main(String[] args) {
		process().run(args);
	}

	static DaemonProcess<AgentSettings> process() {
		return new DaemonProcess<>("verbena-agent", AgentSettings::new, AgentMain::start);
	}

	private static AgentDaemon start(AgentSettings settings) throws AgentStartException, UsageException {
		PlatformClient platform = PlatformClient.builder(settings.platformUrl).token(settings.platformToken).build();
		return AgentDaemon.start(settings, platform.tables(), platform.hosts(), platform.weights(),
				new PrometheusRegistry());
	}

}
