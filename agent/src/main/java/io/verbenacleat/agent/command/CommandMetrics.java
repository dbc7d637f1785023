package io.verbenacleat.agent.command;

import java.util.Locale;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Counts the commands sent to the engine and the steps that are retried. Safe for use by
 * several threads.
 */
public final class CommandMetrics {

	private final Counter commands;

	private final Counter retries;

	/**
	 * Creates the metrics, with a retry count of 0 for each reason.
	 * @param registry the registry to which the metrics are added
	 */
	public CommandMetrics(PrometheusRegistry registry) {
		this.commands = Counter.builder()
			.name("verbena_agent_engine_commands_total")
			.help("Commands sent to the engine by kind")
			.labelNames("kind")
			.register(registry);
		this.retries = Counter.builder()
			.name("verbena_agent_engine_retries_total")
			.help("Steps towards the desired state of the engine that are tried again, by reason")
			.labelNames("reason")
			.register(registry);
		for (RetryReason reason : RetryReason.values()) {
			this.retries.initLabelValues(label(reason));
		}
	}

	void countCommand(EngineCommand command) {
		this.commands.labelValues(command.kind()).inc();
	}

	void countRetry(RetryReason reason) {
		this.retries.labelValues(label(reason)).inc();
	}

	/**
	 * Returns how often a step was retried.
	 * @param reason the reason
	 * @return the count
	 */
	long retries(RetryReason reason) {
		return this.retries.labelValues(label(reason)).getLongValue();
	}

	private static String label(RetryReason reason) {
		return reason.name().toLowerCase(Locale.ROOT);
	}

}
