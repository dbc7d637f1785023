package io.verbenacleat.agent.command;

import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * The state that an engine reports. Immutable.
 *
 * @param models the models and adapters that are loaded or loading, by name
 * @param role the role, {@code null} when the engine reports none
 */
public record EngineState(Map<String, LoadedModel> models, @Nullable String role) {

	/**
	 * Creates a state from a copy of the map.
	 */
	public EngineState {
		models = Map.copyOf(models);
	}

	/**
	 * Returns whether a model or adapter is ready for use.
	 * @param name the name
	 * @return {@code true} when its load has completed
	 */
	boolean isLoaded(String name) {
		LoadedModel model = this.models.get(name);
		return model != null && !model.loading();
	}

	boolean isLoading() {
		return this.models.values().stream().anyMatch(LoadedModel::loading);
	}

	/**
	 * A model or adapter that is loaded or loading. Immutable.
	 *
	 * @param parent the model of an adapter, {@code null} for a model
	 * @param version the version, {@code null} when the engine reports none
	 * @param loading whether the load is still in progress
	 */
	public record LoadedModel(@Nullable String parent, @Nullable String version, boolean loading) {
	}

}
