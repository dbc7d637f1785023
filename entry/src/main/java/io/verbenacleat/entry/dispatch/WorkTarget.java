package io.verbenacleat.entry.dispatch;

import io.verbenacleat.core.config.BackendServerConfig;

/**
 * The model or plain service that a request needs from a backend server. Immutable.
 *
 * @param kind the kind of backend server
 * @param name the name of the model, adapter or plain service
 */
public record WorkTarget(BackendServerConfig.Kind kind, String name) {

	/**
	 * Returns whether a backend server serves this target.
	 * @param server the backend server
	 * @return {@code true} if the backend server serves it
	 */
	public boolean isServedBy(BackendServerConfig server) {
		if (server.kind() != this.kind) {
			return false;
		}
		return (this.kind == BackendServerConfig.Kind.MODEL_ENGINE) ? server.serves(this.name)
				: this.name.equals(server.service());
	}

}
