package io.verbenacleat.core.config;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * A backend server. Immutable.
 *
 * @param name the name, unique in the office
 * @param kind what the server serves
 * @param url the base URL at which its agent reaches the server
 * @param site the site of the server
 * @param models the models that a model engine serves, empty for a plain service
 * @param service the plain service that the server serves, {@code null} for a model
 * engine
 * @param checksFencing whether the server rejects orders with an outdated fencing token
 * @param adapters the adapters that a model engine serves, empty for a plain service
 * @param role the role of a model engine, {@code null} to leave it unchanged
 * @param maxRunning the maximum number of orders that run on the server at a time, 1 or
 * more
 */
public record BackendServerConfig(String name, Kind kind, String url, String site, List<String> models,
		@Nullable String service, boolean checksFencing, List<AdapterConfig> adapters, @Nullable String role,
		int maxRunning) {

	/** The {@link #maxRunning} of a backend server that sets none. */
	public static final int DEFAULT_MAX_RUNNING = 64;

	/**
	 * Creates a backend server with copies of the lists.
	 */
	public BackendServerConfig {
		models = List.copyOf(models);
		adapters = List.copyOf(adapters);
	}

	/**
	 * Creates a backend server without adapters and role, with the default limit of
	 * running orders.
	 * @param name the name, unique in the office
	 * @param kind what the server serves
	 * @param url the base URL at which its agent reaches the server
	 * @param site the site of the server
	 * @param models the models that a model engine serves, empty for a plain service
	 * @param service the plain service that the server serves, {@code null} for a model
	 * engine
	 * @param checksFencing whether the server rejects orders with an outdated fencing
	 * token
	 */
	public BackendServerConfig(String name, Kind kind, String url, String site, List<String> models,
			@Nullable String service, boolean checksFencing) {
		this(name, kind, url, site, models, service, checksFencing, List.of(), null, DEFAULT_MAX_RUNNING);
	}

	/**
	 * Returns whether this server is configured with a model or adapter.
	 * @param model the name of the model or adapter
	 * @return {@code true} if it is one of the models or adapters of this server
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
