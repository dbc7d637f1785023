package io.verbenacleat.agent.command;

import java.util.ArrayList;
import java.util.List;

import io.verbenacleat.core.config.AdapterConfig;
import io.verbenacleat.core.config.BackendServerConfig;
import org.jspecify.annotations.Nullable;

/**
 * The models, adapters and role that the configuration requires of an engine. Immutable.
 * Other models and adapters stay loaded: there is no command to unload them.
 *
 * @param models the names of the models
 * @param adapters the adapters
 * @param role the role, {@code null} to leave it unchanged
 */
public record DesiredState(List<String> models, List<AdapterConfig> adapters, @Nullable String role) {

	/**
	 * Creates a desired state from copies of the lists.
	 */
	public DesiredState {
		models = List.copyOf(models);
		adapters = List.copyOf(adapters);
	}

	/**
	 * Returns the desired state of a model engine.
	 * @param server the model engine
	 * @return its desired state
	 */
	public static DesiredState of(BackendServerConfig server) {
		return new DesiredState(server.models(), server.adapters(), server.role());
	}

	/**
	 * Returns the commands that remove the differences from the reported state: the role
	 * first, which needs no weights, then models, then adapters whose model is loaded.
	 * @param state the state that the engine reports
	 * @return the commands in the order in which they are to be sent, empty when there
	 * are none
	 */
	List<EngineCommand> commands(EngineState state) {
		List<EngineCommand> commands = new ArrayList<>();
		if (this.role != null && !this.role.equals(state.role())) {
			commands.add(EngineCommand.changeRole(this.role));
		}
		this.models.stream()
			.filter((name) -> !state.models().containsKey(name))
			.map(EngineCommand::loadModel)
			.forEach(commands::add);
		this.adapters.stream()
			.filter((adapter) -> state.isLoaded(adapter.model()) && !matches(adapter, state))
			.map(EngineCommand::loadAdapter)
			.forEach(commands::add);
		return commands;
	}

	/**
	 * Returns whether the engine can run orders for a model or adapter. An adapter with
	 * another version or model does not count: callers would get answers from the wrong
	 * weights.
	 * @param name the model or adapter
	 * @param state the state that the engine reports
	 * @return {@code true} when the engine has loaded it as required
	 */
	boolean isServed(String name, EngineState state) {
		if (!state.isLoaded(name)) {
			return false;
		}
		return this.models.contains(name)
				|| this.adapters.stream().anyMatch((adapter) -> adapter.name().equals(name) && matches(adapter, state));
	}

	private static boolean matches(AdapterConfig adapter, EngineState state) {
		EngineState.LoadedModel loaded = state.models().get(adapter.name());
		return loaded != null && adapter.version().equals(loaded.version()) && adapter.model().equals(loaded.parent());
	}

}
