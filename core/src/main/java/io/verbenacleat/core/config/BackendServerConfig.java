package io.verbenacleat.core.config;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * A backend server. Immutable.
 *
 * @param name the name, unique in the office
 * @param kind what it serves
 * @param url its base URL as its agent reaches it
 * @param site its site
 * @param models the models that a model engine serves, empty for a plain service
 * @param service the plain service that it serves, {@code null} for a model engine
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param adapters the adapters that a model engine serves
 * @param role the role of a model engine, {@code null} to leave it as it is
 * @param maxRunning the most orders that run on it at a time, 1 or more
 */
public record BackendServerConfig(String name, Kind kind, String url, String site, List<String> models,
		@Nullable String service, boolean checksFencing, List<AdapterConfig> adapters, @Nullable String role,
		int maxRunning) {

	/** The {@link #maxRunning} of a server that sets none. */
	public static final int DEFAULT_MAX_RUNNING = 64;

	/**
	 * Creates a backend server from copies of the lists.
	 */
	public BackendServerConfig {
		models = List.copyOf(models);
		adapters = List.copyOf(adapters);
	}

	/**
	 * Creates a backend server without adapters and role, with the default bound on
	 * running orders.
	 * @param name the name, unique in the office
	 * @param kind what it serves
	 * @param url its base URL as its agent reaches it
	 * @param site its site
	 * @param models the models that a model engine serves, empty for a plain service
	 * @param service the plain service that it serves, {@code null} for a model engine
	 * @param checksFencing whether it refuses orders with an old fencing number
	 */
	public BackendServerConfig(String name, Kind kind, String url, String site, List<String> models,
			@Nullable String service, boolean checksFencing) {
		this(name, kind, url, site, models, service, checksFencing, List.of(), null, DEFAULT_MAX_RUNNING);
	}

	/**
	 * Returns whether callers can name a model or adapter that this server is to have.
	 * @param model the name of a model or adapter
	 * @return {@code true} when the server is configured with it
	 */
	public boolean serves(String model) {
		return this.models.contains(model)
				|| this.adapters.stream().anyMatch((adapter) -> adapter.name().equals(model));
	}

	/**
	 * What a backend server serves.
	 */
	public enum Kind {

		/** Chat completions. */
		MODEL_ENGINE,

		/** A plain service. */
		SERVICE

	}

}
