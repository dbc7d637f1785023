package io.verbenacleat.router.relay;

import java.util.HashMap;
import java.util.Map;

import io.netty.channel.EventLoop;
import io.verbenacleat.router.LoadReportFormat;
import io.verbenacleat.router.balance.ServerState;
import io.verbenacleat.router.config.Service;
import org.jspecify.annotations.Nullable;

/**
 * Finds out whether the process of a backend server runs after one of its connections has
 * ended. Not thread safe; confined to the event loop of the relay.
 * <p>
 * The other connections to the process are the first source, since they need no new one,
 * which a busy server may reset: the process runs if it responds on one of them to a
 * request that was sent after the end, or if it writes on one of them later than a
 * process that ends would have closed it. {@link LivenessCheck} asks for the rest.
 */
final class LivenessChecks implements ServerConnections.Observer {

	private final Relay relay;

	private final LoadReportFormat reportFormat;

	private final EventLoop loop;

	/** The checks in progress, by the key of the incarnation. */
	private final Map<String, LivenessCheck> checks = new HashMap<>();

	LivenessChecks(Relay relay, LoadReportFormat reportFormat, EventLoop loop) {
		this.relay = relay;
		this.reportFormat = reportFormat;
		this.loop = loop;
	}

	/**
	 * Checks whether the process that wrote a response still runs.
	 * @param state the server
	 * @param service its service
	 * @param ended the response
	 * @param maxWaitMs the time in milliseconds after which the result is negative
	 */
	void check(ServerState state, Service service, EndedResponse ended, long maxWaitMs) {
		String key = ServerConnections.incarnationKey(state.server());
		LivenessCheck check = this.checks.computeIfAbsent(key, (any) -> new LivenessCheck(this.relay, this.reportFormat,
				this.loop, state, service, () -> this.checks.remove(key)));
		check.add(ended, maxWaitMs);
	}

	@Override
	public void onBytes(ServerConnection connection) {
		LivenessCheck check = find(connection);
		if (check != null) {
			check.onBytes(connection);
		}
	}

	@Override
	public void onResponse(ServerConnection connection) {
		LivenessCheck check = find(connection);
		if (check != null) {
			check.onResponse(connection);
		}
	}

	@Override
	public void onClosed(ServerConnection connection, boolean broken) {
		LivenessCheck check = find(connection);
		if (check != null) {
			check.onClosed(connection, broken);
		}
	}

	private @Nullable LivenessCheck find(ServerConnection connection) {
		return this.checks.isEmpty() ? null : this.checks.get(connection.incarnationKey());
	}

	/**
	 * Receives the result of a check on the event loop.
	 */
	interface Listener {

		/**
		 * Called once with the result.
		 * @param running whether the incarnation certainly still runs
		 * @param evidence what was found, for logs
		 */
		void onResult(boolean running, String evidence);

	}

}
