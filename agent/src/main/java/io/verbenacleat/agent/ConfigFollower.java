package io.verbenacleat.agent;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

import io.verbenacleat.agent.backend.BackendCalls;
import io.verbenacleat.agent.backend.BackendTarget;
import io.verbenacleat.agent.command.DesiredState;
import io.verbenacleat.agent.command.EngineReconciler;
import io.verbenacleat.agent.command.HttpEngineControl;
import io.verbenacleat.agent.engine.ChatEngineClient;
import io.verbenacleat.agent.order.Backend;
import io.verbenacleat.agent.service.PlainServiceClient;
import io.verbenacleat.core.config.BackendServerConfig;
import io.verbenacleat.core.config.LimitsConfig;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.proto.v1.ExecuteRequest;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Applies new versions of the configuration and creates the client of the backend server.
 * Never returns to an older version. Changed on the control thread only; the methods that
 * return a part of the configuration may be called from any thread.
 */
final class ConfigFollower {

	private static final Logger logger = LogManager.getLogger(ConfigFollower.class);

	private final ControlThread control;

	private final ConfigSource source;

	private final BackendCalls calls;

	private final AgentSettings settings;

	private final EngineReconciler reconciler;

	private long fence;

	private String lastFailure = "";

	private BiConsumer<BackendServerConfig, LimitsConfig> onServer = (server, limits) -> {
	};

	private volatile @Nullable ActiveConfig active;

	ConfigFollower(ControlThread control, ConfigSource source, BackendCalls calls, AgentSettings settings,
			EngineReconciler reconciler) {
		this.control = control;
		this.source = source;
		this.calls = calls;
		this.settings = settings;
		this.reconciler = reconciler;
	}

	/**
	 * Sets the fencing token; must be called before the first {@link #read}.
	 * @param newFence the fencing token
	 */
	void setFence(long newFence) {
		this.fence = newFence;
	}

	/**
	 * Sets the listener that is called on the control thread for each version that lists
	 * the backend server; must be called before the first {@link #read}.
	 * @param action the listener
	 */
	void onServer(BiConsumer<BackendServerConfig, LimitsConfig> action) {
		this.onServer = action;
	}

	/**
	 * Reads the configuration and applies it.
	 * @return a future that completes when the configuration is in use
	 */
	CompletableFuture<?> read() {
		return this.source.read()
			.thenAcceptAsync(this::apply, this.control)
			.whenCompleteAsync((result, failure) -> logFailure(failure), this.control);
	}

	/**
	 * Returns the client of the backend server.
	 * @return the client, {@code null} while the backend server is not configured
	 */
	@Nullable
	Backend backend() {
		ActiveConfig activeConfig = this.active;
		return (activeConfig != null) ? activeConfig.backend() : null;
	}

	/**
	 * Returns the base URL of the backend server.
	 * @return the URL, {@code null} while the backend server is not configured
	 */
	@Nullable
	String url() {
		ActiveConfig activeConfig = this.active;
		return (activeConfig != null) ? activeConfig.url() : null;
	}

	/**
	 * Returns the version of the configuration in use.
	 * @return the version, 0 for none
	 */
	long version() {
		ActiveConfig activeConfig = this.active;
		return (activeConfig != null) ? activeConfig.version() : 0;
	}

	/**
	 * Returns whether the backend server is configured and, if it is a model engine, its
	 * state is known and no newer agent exists.
	 * @return {@code true} when orders can be run
	 */
	boolean ready() {
		ActiveConfig activeConfig = this.active;
		BackendServerConfig server = (activeConfig != null) ? activeConfig.server() : null;
		if (server == null) {
			return false;
		}
		return server.kind() == BackendServerConfig.Kind.SERVICE
				|| (this.reconciler.isStateKnown() && !this.reconciler.isSuperseded());
	}

	/**
	 * Returns whether the backend server serves the model or service of an order.
	 * @param order the order
	 * @return {@code true} when it does
	 */
	boolean serves(ExecuteRequest order) {
		ActiveConfig activeConfig = this.active;
		BackendServerConfig server = (activeConfig != null) ? activeConfig.server() : null;
		if (server == null) {
			return false;
		}
		if (server.kind() == BackendServerConfig.Kind.MODEL_ENGINE) {
			return order.hasChat() && this.reconciler.isServed(order.getChat().getModel());
		}
		return order.hasHttp() && order.getHttp().getService().equals(server.service());
	}

	private void apply(OfficeConfig config) {
		ActiveConfig activeConfig = this.active;
		if (activeConfig != null && config.version() <= activeConfig.version()) {
			return;
		}
		BackendServerConfig server = config.server(this.settings.server).orElse(null);
		if (server == null) {
			logger.warn("Configuration version {} does not list backend server {}", config.version(),
					this.settings.server);
			this.active = new ActiveConfig(config.version(), null, null, null);
			this.reconciler.clear();
			return;
		}
		String url = (this.settings.backendUrl.isEmpty()) ? server.url() : this.settings.backendUrl;
		BackendTarget target = new BackendTarget(url, this.fence);
		boolean modelEngine = server.kind() == BackendServerConfig.Kind.MODEL_ENGINE;
		Backend backend = (modelEngine) ? new ChatEngineClient(this.calls, target)
				: new PlainServiceClient(this.calls, target);
		this.active = new ActiveConfig(config.version(), server, backend, target.url());
		this.onServer.accept(server, config.limits());
		if (modelEngine) {
			this.reconciler.apply(DesiredState.of(server), new HttpEngineControl(this.calls, target));
		}
		else {
			this.reconciler.clear();
		}
		logger.info("Configuration version {} in use, backend server {} at {}", config.version(), server.name(),
				target.url());
	}

	private void logFailure(@Nullable Throwable failure) {
		String message = (failure != null) ? String.valueOf(failure.getMessage()) : "";
		if (!message.isEmpty() && !message.equals(this.lastFailure)) {
			logger.warn("Cannot read the configuration: {}", message.replace('\n', ' '));
		}
		this.lastFailure = message;
	}

	/**
	 * The configuration in use. Immutable.
	 *
	 * @param version its version
	 * @param server the backend server, {@code null} when the version does not list it
	 * @param backend the client of the backend server, {@code null} without one
	 * @param url the base URL of the backend server, {@code null} without one
	 */
	private record ActiveConfig(long version, @Nullable BackendServerConfig server, @Nullable Backend backend,
			@Nullable String url) {
	}

}
