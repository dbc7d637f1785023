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
 * @param maxRunning the most orders that run on it at a time, 1 or more
 */
public record BackendServerConfig(String name, Kind kind, String url, String site, List<String> models,
		@Nullable String service, boolean checksFencing, int maxRunning) {

	/** The {@link #maxRunning} of a server that sets none. */
	public static final int DEFAULT_MAX_RUNNING = 64;

	/**
	 * Creates a backend server from a copy of the list.
	 */
	public BackendServerConfig {
		models = List.copyOf(models);
	}

	/**
	 * Creates a backend server with the default bound on running orders.
	 * @param name the name, unique in the office
	 * @param kind what it serves
	 * @param url its base URL as its agent reaches it
	 * @param site its site
	 * @param models the models that a model engine serves
	 * @param service the plain service that it serves, {@code null} for a model engine
	 * @param checksFencing whether it refuses orders with an old fencing number
	 */
	public BackendServerConfig(String name, Kind kind, String url, String site, List<String> models,
			@Nullable String service, boolean checksFencing) {
		this(name, kind, url, site, models, service, checksFencing, DEFAULT_MAX_RUNNING);
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
