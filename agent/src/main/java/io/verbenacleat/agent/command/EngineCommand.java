package io.verbenacleat.agent.command;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;
import io.verbenacleat.core.config.AdapterConfig;
import org.jspecify.annotations.Nullable;

/**
 * A command to an engine, written as the JSON body of the request. Immutable.
 *
 * @param kind {@code load-model}, {@code load-adapter} or {@code change-role}
 * @param model the model to load or the model of the adapter, {@code null} for a change
 * of role
 * @param adapter the adapter to load, or {@code null}
 * @param version the version of the adapter, or {@code null}
 * @param role the new role, or {@code null}
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record EngineCommand(String kind, @Nullable String model, @Nullable String adapter, @Nullable String version,
		@Nullable String role) {

	static EngineCommand loadModel(String model) {
		return new EngineCommand("load-model", model, null, null, null);
	}

	static EngineCommand loadAdapter(AdapterConfig adapter) {
		return new EngineCommand("load-adapter", adapter.model(), adapter.name(), adapter.version(), null);
	}

	static EngineCommand changeRole(String role) {
		return new EngineCommand("change-role", null, null, null, role);
	}

	/**
	 * Returns the name of the weights that the engine loads for this command.
	 * @return the model or adapter, {@code null} when no weights are needed
	 */
	@JsonIgnore
	@Nullable
	String weightsName() {
		return (this.adapter != null) ? this.adapter : this.model;
	}

}
