package io.verbenacleat.standins;

import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * A command that the engine stand-in received: a load of a model or adapter, or a change
 * of the role. Which other components are needed depends on the kind. Immutable.
 *
 * @param kind {@code load-model}, {@code load-adapter} or {@code change-role}
 * @param model the name of the model, or {@code null}
 * @param adapter the name of the adapter, or {@code null}
 * @param version the version of the model or adapter, or {@code null}
 * @param role the new role, or {@code null}
 * @param fencingToken the fencing token, 0 when the request has none
 */
public record ReceivedCommand(@Nullable String kind, @Nullable String model, @Nullable String adapter,
		@Nullable String version, @Nullable String role, long fencingToken) {

	private static final Set<String> KINDS = Set.of("load-model", "load-adapter", "change-role");

	/**
	 * Returns the name of the model or adapter that this command loads.
	 * @return the name, or {@code null} when the command changes the role
	 * @throws IllegalArgumentException when the kind is unknown or a component that it
	 * needs is missing
	 */
	@Nullable
	String loadedName() {
		if (this.kind == null || !KINDS.contains(this.kind)) {
			throw new IllegalArgumentException("kind: found '" + this.kind + "', allowed are " + KINDS);
		}
		return switch (this.kind) {
			case "load-model" -> require("model", this.model);
			case "load-adapter" -> require("adapter", this.adapter);
			default -> {
				require("role", this.role);
				yield null;
			}
		};
	}

	/**
	 * Returns this command with another fencing token.
	 * @param newFencingToken the fencing token
	 * @return the changed copy
	 */
	ReceivedCommand withFencingToken(long newFencingToken) {
		return new ReceivedCommand(this.kind, this.model, this.adapter, this.version, this.role, newFencingToken);
	}

	private static String require(String name, @Nullable String value) {
		if (value == null || value.isEmpty()) {
			throw new IllegalArgumentException(name + " is missing");
		}
		return value;
	}

}
