package io.verbenacleat.router.relay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import io.verbenacleat.router.balance.ServerState;
import io.verbenacleat.router.log.DecisionLog;
import io.verbenacleat.router.server.BackendServer;
import io.verbenacleat.router.server.ServerList;
import org.jspecify.annotations.Nullable;

/**
 * Finds out whether a backend server has crashed when connections with requests in flight
 * are closed. Not thread safe; confined to the event loop of the relay.
 * <p>
 * A crash, a reset of the connection and a broken response look alike on one connection.
 * A new connection tells them apart: only a server whose process has ended refuses it. An
 * unreachable server doesn't respond, and a server that leaves has announced it. A server
 * that accepts or resets the connection may have been started again, which its
 * registration tells.
 */
final class CrashDetector {

	/** Connections to a crashed server are closed within this time of each other. */
	private static final long SAME_END_MS = 1_000;

	/** A server that was started again is registered within this time. */
	private static final long REGISTRATION_MS = 5_000;

	private final ServerConnections connections;

	private final DecisionLog log;

	private final RelayMetrics metrics;

	private final Listener listener;

	/** The ends of the last second, in their order, by incarnation of the server. */
	private final Map<BackendServer, End> ends = new LinkedHashMap<>();

	/** The ends of servers that accepted or reset a new connection, in their order. */
	private final List<End> possiblyRestarted = new ArrayList<>();

	private ServerList servers = ServerList.empty();

	CrashDetector(ServerConnections connections, DecisionLog log, RelayMetrics metrics, Listener listener) {
		this.connections = connections;
		this.log = log;
		this.metrics = metrics;
		this.listener = listener;
	}

	/**
	 * Handles a connection that was closed while a request was in flight.
	 * @param state the server
	 * @param suspects the prompt parts of the request that may have ended the server
	 * @param nowMs the steady time in milliseconds
	 * @param onResult called with {@code true} if the server has crashed, during this
	 * call or later
	 */
	void onClosed(ServerState state, List<String> suspects, long nowMs, Consumer<Boolean> onResult) {
		BackendServer server = state.server();
		if (state.isLeaving() || server.draining()) {
			onResult.accept(false);
			return;
		}
		this.ends.values().removeIf((end) -> nowMs - end.startedAtMs > SAME_END_MS);
		BackendServer key = server.incarnationKey();
		End known = this.ends.get(key);
		if (known != null && !known.wasRunning()) {
			known.add(suspects, onResult);
			return;
		}
		End end = new End(server, nowMs);
		end.add(suspects, onResult);
		this.ends.put(key, end);
		this.connections.probe(server, end::onProbed);
	}

	/**
	 * Finds servers that were started again before a new connection was tried.
	 * @param list the new list of servers
	 * @param nowMs the steady time in milliseconds
	 */
	void onServers(ServerList list, long nowMs) {
		this.servers = list;
		this.possiblyRestarted.removeIf((end) -> nowMs - end.startedAtMs > REGISTRATION_MS);
		List<End> restarted = this.possiblyRestarted.stream().filter((end) -> end.isRestarted(list)).toList();
		this.possiblyRestarted.removeAll(restarted);
		restarted.forEach(End::onRestarted);
	}

	/**
	 * Receives the crashes of servers.
	 */
	interface Listener {

		/**
		 * Called when a server has crashed, and again when more of its requests fail.
		 * @param server the server
		 * @param suspects the distinct prompt parts of the requests that may have ended
		 * it
		 */
		void onCrash(BackendServer server, Set<String> suspects);

	}

	private final class End {

		private final BackendServer server;

		private final long startedAtMs;

		private final List<String> suspects = new ArrayList<>();

		private final List<Consumer<Boolean>> waiting = new ArrayList<>();

		private int closedCount;

		private ServerConnections.@Nullable ProbeResult result;

		private End(BackendServer server, long startedAtMs) {
			this.server = server;
			this.startedAtMs = startedAtMs;
		}

		// Such a server may have ended since.
		private boolean wasRunning() {
			return this.result == ServerConnections.ProbeResult.ACCEPTED;
		}

		// A busy process resets new connections, also one that was started again.
		private boolean mayHaveRestarted() {
			return wasRunning() || this.result == ServerConnections.ProbeResult.RESET;
		}

		private void add(List<String> parts, Consumer<Boolean> onResult) {
			this.closedCount++;
			ServerConnections.ProbeResult known = this.result;
			if (known == null) {
				this.suspects.addAll(parts);
				this.waiting.add(onResult);
				return;
			}
			if (mayHaveRestarted()) {
				this.suspects.addAll(parts);
			}
			boolean crashed = known == ServerConnections.ProbeResult.REFUSED;
			if (crashed) {
				CrashDetector.this.listener.onCrash(this.server, new LinkedHashSet<>(parts));
			}
			onResult.accept(crashed);
		}

		private boolean isRestarted(ServerList list) {
			return list.all().stream().noneMatch(this.server::isSameIncarnation)
					&& list.all().stream().anyMatch(this.server::isPredecessorOf);
		}

		private void onRestarted() {
			CrashDetector.this.metrics.serverEnded("restarted");
			Set<String> distinct = new LinkedHashSet<>(this.suspects);
			CrashDetector.this.log.event("server.restarted")
				.with("server", this.server.id())
				.with("started_at_ms", this.server.startedAtMs())
				.with("suspect_parts", String.join(",", distinct))
				.emit();
			CrashDetector.this.listener.onCrash(this.server, distinct);
		}

		private void onProbed(ServerConnections.ProbeResult probed) {
			this.result = probed;
			String name = probed.name().toLowerCase(Locale.ROOT);
			CrashDetector.this.metrics.serverEnded(name);
			Set<String> distinct = new LinkedHashSet<>(this.suspects);
			CrashDetector.this.log.event("server.connections_closed")
				.with("server", this.server.id())
				.with("started_at_ms", this.server.startedAtMs())
				.with("requests", this.closedCount)
				.with("new_connection", name)
				.with("suspect_parts", String.join(",", distinct))
				.emit();
			if (probed == ServerConnections.ProbeResult.REFUSED) {
				CrashDetector.this.listener.onCrash(this.server, distinct);
			}
			else if (mayHaveRestarted()) {
				// The registration may have arrived before the result.
				if (isRestarted(CrashDetector.this.servers)) {
					onRestarted();
				}
				else {
					CrashDetector.this.possiblyRestarted.add(this);
				}
			}
			this.waiting.forEach((onResult) -> onResult.accept(probed == ServerConnections.ProbeResult.REFUSED));
		}

	}

}
