package io.verbenacleat.entry.request;

import io.verbenacleat.core.config.BackendServerConfig;
import io.verbenacleat.entry.dispatch.WorkTarget;
import io.verbenacleat.proto.v1.ChatWork;
import io.verbenacleat.proto.v1.HttpWork;

/**
 * Creates work targets from requests.
 */
final class WorkTargets {

	private WorkTargets() {
	}

	/**
	 * Returns the target of a request.
	 * @param request the request
	 * @return the model or the plain service
	 * @throws IllegalArgumentException if the request has neither a chat completion nor a
	 * call to a plain service
	 */
	static WorkTarget of(CallerRequest request) {
		ChatWork chat = request.chat();
		if (chat != null) {
			return new WorkTarget(BackendServerConfig.Kind.MODEL_ENGINE, chat.getModel());
		}
		HttpWork http = request.http();
		if (http != null) {
			return new WorkTarget(BackendServerConfig.Kind.SERVICE, http.getService());
		}
		throw new IllegalArgumentException("The request has neither a chat completion nor a call to a plain service");
	}

}
