package io.verbenacleat.entry.member;

import java.util.concurrent.CompletableFuture;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.config.ConfigException;
import io.verbenacleat.core.config.ConfigLoader;
import io.verbenacleat.core.config.ConfigStore;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.config.StoredConfig;
import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.head.Head;
import io.verbenacleat.core.head.HeadPoller;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.entry.EntryStateKeys;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Updates {@link EntryStateKeys#CONFIG} to the newest stored version and never reverts to
 * an older one. Confined to the control thread.
 */
public final class ConfigController {

	private static final Logger logger = LogManager.getLogger(ConfigController.class);

	private final TableStore store;

	private final ControlThread control;

	private final Blackboard blackboard;

	private final String site;

	private final ConfigLoader loader = new ConfigLoader();

	private final Counter unusableVersions;

	/**
	 * Creates a controller and registers it as the reader of the configuration topic.
	 * @param store the table store
	 * @param control the control thread
	 * @param blackboard the blackboard to update
	 * @param poller the poller of topic versions
	 * @param site the site whose overlay is applied
	 * @param registry the registry for the metrics
	 */
	public ConfigController(TableStore store, ControlThread control, Blackboard blackboard, HeadPoller poller,
			String site, PrometheusRegistry registry) {
		this.store = store;
		this.control = control;
		this.blackboard = blackboard;
		this.site = site;
		this.unusableVersions = Counter.builder()
			.name("verbena_config_unusable")
			.help("Stored versions that this node could not use")
			.register(registry);
		GaugeWithCallback.builder()
			.name("verbena_config_version")
			.help("Version of the configuration in force, 0 for none")
			.callback((callback) -> callback.call(version()))
			.register(registry);
		GaugeWithCallback.builder()
			.name("verbena_config_age_seconds")
			.help("Time since the platform last answered a poll, in seconds")
			.callback((callback) -> callback.call(ageSeconds()))
			.register(registry);
		poller.onTopic(Head.CONFIG, (topic) -> read());
	}

	private long version() {
		OfficeConfig config = this.blackboard.read(EntryStateKeys.CONFIG);
		return (config != null) ? config.version() : 0;
	}

	private double ageSeconds() {
		Long seenAtMs = this.blackboard.read(EntryStateKeys.PLATFORM_LAST_CONTACT_MS);
		return (seenAtMs != null) ? (this.control.clock().millis() - seenAtMs) / 1_000.0 : Double.NaN;
	}

	private CompletableFuture<?> read() {
		return ConfigStore.readCurrent(this.store).thenAcceptAsync(this::publish, this.control);
	}

	private void publish(StoredConfig stored) {
		OfficeConfig current = this.blackboard.read(EntryStateKeys.CONFIG);
		if (current != null && current.version() >= stored.number()) {
			return;
		}
		try {
			OfficeConfig config = this.loader.load(stored.number(), stored.files(), this.site);
			this.blackboard.write(EntryStateKeys.CONFIG, config);
			logger.info("Configuration version {} is in force", stored.number());
		}
		catch (ConfigException ex) {
			this.unusableVersions.inc();
			logger.error("Configuration version {} is invalid and was ignored: {}", stored.number(), ex.getMessage());
		}
	}

}
