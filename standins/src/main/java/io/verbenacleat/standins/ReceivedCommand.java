package io.verbenacleat.standins;

import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * An order that the engine stand-in accepted. Immutable.
 *
 * @param kind {@code load-model}, {@code load-adapter} or {@code change-role}
 * @param model the model, or {@code null}
 * @param adapter the adapter, or {@code null}
 * @param version the version of the model or adapter, or {@code null}
 * @param role the role, or {@code null}
 * @param fencingToken the fencing number, 0 without one
 */
public record ReceivedCommand(@Nullable String kind, @Nullable String model, @Nullable String adapter,
		@Nullable String version, @Nullable String role, long fencingToken) {

	private static final Set<String> KINDS = Set.of("load-model", "load-adapter", "change-role");

	/**
	 * Returns the model or adapter that can be named in a completion after this order.
	 * @return the name, or {@code null} when the order loads nothing
	 * @throws IllegalArgumentException when the order is not complete
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
	 * Returns this order with a fencing number.
	 * @param newFencingToken the number
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
