package io.verbenacleat.agent.command;

import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * What an engine reports. Immutable.
 *
 * @param models the models and adapters by name
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
	 * Returns whether a model or adapter can be used.
	 * @param name the name
	 * @return {@code true} when its load has ended
	 */
	boolean isLoaded(String name) {
		LoadedModel model = this.models.get(name);
		return model != null && !model.loading();
	}

	boolean isLoading() {
		return this.models.values().stream().anyMatch(LoadedModel::loading);
	}

	/**
	 * A model or adapter that is loaded or being loaded. Immutable.
	 *
	 * @param parent the model of an adapter, {@code null} for a model
	 * @param version the version, {@code null} when the engine reports none
	 * @param loading whether the load has not ended
	 */
	public record LoadedModel(@Nullable String parent, @Nullable String version, boolean loading) {
	}

}
