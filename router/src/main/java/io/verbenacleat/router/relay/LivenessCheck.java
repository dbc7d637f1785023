package io.verbenacleat.router.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.verbenacleat.router.LoadReportFormat;
import io.verbenacleat.router.balance.ServerState;
import io.verbenacleat.router.config.Service;
import io.verbenacleat.router.server.BackendServer;
import org.jspecify.annotations.Nullable;

/**
 * Checks one incarnation of a backend server after responses without length have ended.
 * Not thread safe; confined to the event loop of the relay.
 * <p>
 * A load report that was requested after the end shows that the incarnation still runs.
 * Servers without load reports, and those that must not be sent requests now, for example
 * in an evacuated zone or while they warm up, have to keep a connection open for
 * {@link #HOLD_MS}: the kernel accepts connections for a process that is ending, and
 * resets them.
 * <p>
 * A server that is busy resets new connections, too, and one that leaves may refuse them.
 * Neither says that the process has ended. Bytes on its other connections can still show
 * that it runs, and after a reset another new connection can. A response is taken for cut
 * when nothing is left that could show it, or at its time limit.
 */
final class LivenessCheck {

	/** The connections of a process that ends are closed within this time. */
	private static final long HOLD_MS = 50;

	/**
	 * After a delay, the event loop reads the sockets once more before it decides: the
	 * process may have been suspended, and a timer would run before the closed
	 * connections are noticed.
	 */
	private static final long READ_AGAIN_MS = 2;

	/**
	 * How long to wait for bytes on other connections before a new one is opened. A
	 * server with a queue completes a request more often than that.
	 */
	private static final long OTHER_CONNECTIONS_MS = 100;

	/**
	 * Delay of another new connection after a reset. A process that has ended is not
	 * replaced so soon, and refuses the connection.
	 */
	private static final long RETRY_MS = 100;

	/** Delay while other connections to the process are open, which may show as much. */
	private static final long RETRY_BESIDE_OTHERS_MS = 500;

	private final Relay relay;

	private final LoadReportFormat reportFormat;

	private final EventLoop loop;

	private final ServerState state;

	private final Service service;

	private final Runnable onFinished;

	private final List<EndedResponse> pending = new ArrayList<>();

	/** Whether a new connection is being tried, or will be after a delay. */
	private boolean connecting;

	LivenessCheck(Relay relay, LoadReportFormat reportFormat, EventLoop loop, ServerState state, Service service,
			Runnable onFinished) {
		this.relay = relay;
		this.reportFormat = reportFormat;
		this.loop = loop;
		this.state = state;
		this.service = service;
		this.onFinished = onFinished;
	}

	/**
	 * Adds a response.
	 * @param ended the response
	 * @param maxWaitMs the time in milliseconds after which it is taken for cut
	 */
	void add(EndedResponse ended, long maxWaitMs) {
		this.pending.add(ended);
		afterDelay(HOLD_MS, ended::settle);
		this.loop.schedule(() -> decide(ended, false, ended.finding()), maxWaitMs, TimeUnit.MILLISECONDS);
		connect();
	}

	void onBytes(ServerConnection connection) {
		confirm((ended) -> ended.isProvenByBytes(connection), "bytes_on_other_connection");
	}

	void onResponse(ServerConnection connection) {
		confirm((ended) -> ended.isProvenByResponse(connection), "response_on_other_connection");
	}

	void onClosed(ServerConnection connection, boolean broken) {
		if (broken) {
			this.pending.forEach((ended) -> ended.onBroken(connection));
		}
		for (EndedResponse ended : List.copyOf(this.pending)) {
			giveUpWithoutSources(ended);
		}
	}

	private void confirm(Predicate<EndedResponse> proven, String evidence) {
		for (EndedResponse ended : List.copyOf(this.pending)) {
			if (proven.test(ended)) {
				decide(ended, true, evidence);
			}
		}
	}

	private void decide(EndedResponse ended, boolean running, String evidence) {
		if (!this.pending.remove(ended)) {
			return;
		}
		if (this.pending.isEmpty() && !this.connecting) {
			this.onFinished.run();
		}
		ended.decide(running, evidence);
	}

	private void giveUpWithoutSources(EndedResponse ended) {
		if (!ended.isConnectable() && countOtherConnections(ended) == 0) {
			decide(ended, false, ended.finding());
		}
	}

	private int countOtherConnections(EndedResponse ended) {
		return this.relay.connections().countOpenSince(this.state.server(), ended.requestSentAtMs());
	}

	private void connect() {
		if (this.connecting) {
			return;
		}
		if (this.pending.stream().noneMatch(EndedResponse::isConnectable)) {
			if (this.pending.isEmpty()) {
				this.onFinished.run();
			}
			return;
		}
		this.connecting = true;
		boolean wait = !mayAsk() && findIdle(this.pending) == null
				&& this.pending.stream().allMatch((ended) -> countOtherConnections(ended) > 0);
		if (wait) {
			afterDelay(OTHER_CONNECTIONS_MS, this::connectNow);
		}
		else {
			connectNow();
		}
	}

	// A load report is an ordinary request, which some servers must not get now.
	private boolean mayAsk() {
		long nowMs = this.relay.nowMs();
		return this.service.modelService() && !this.state.isLimited() && !this.state.isWarmingUp(nowMs)
				&& this.state.remainingPauseMs(nowMs) == 0 && !this.relay.states().isEvacuated(this.state.server());
	}

	// A new connection shows nothing about responses that end later.
	private void connectNow() {
		this.pending.removeIf(EndedResponse::isDecided);
		List<EndedResponse> covered = this.pending.stream().filter(EndedResponse::isConnectable).toList();
		if (covered.isEmpty()) {
			this.connecting = false;
			connect();
			return;
		}
		if (mayAsk()) {
			new ReportCheck(this.relay, this.reportFormat, this.loop, this.state, this.service,
					() -> holdConnection(covered), (result, evidence) -> onResult(covered, result, evidence))
				.send();
		}
		else {
			holdConnection(covered);
		}
	}

	private void onResult(List<EndedResponse> covered, Result result, String evidence) {
		for (EndedResponse ended : covered) {
			switch (result) {
				case RUNNING -> decide(ended, true, evidence);
				case REPLACED -> decide(ended, false, evidence);
				case RESET -> ended.onFinding(evidence, true);
				case UNKNOWN -> {
					ended.onFinding(evidence, false);
					giveUpWithoutSources(ended);
				}
			}
		}
		if (result == Result.RESET) {
			boolean besideOthers = this.pending.stream().allMatch((ended) -> countOtherConnections(ended) > 0);
			afterDelay(besideOthers ? RETRY_BESIDE_OTHERS_MS : RETRY_MS, this::connectNow);
			return;
		}
		this.connecting = false;
		connect();
	}

	// A process whose other connections have broken may have been replaced.
	private void onNewConnection(List<EndedResponse> covered, Result result, String evidence) {
		for (EndedResponse ended : covered) {
			if (ended.isSuspect() && countOtherConnections(ended) == 0) {
				decide(ended, false, "other_connections_broken");
			}
		}
		onResult(covered, result, evidence);
	}

	// A connection from before the end belongs to the same process.
	private @Nullable Channel findIdle(List<EndedResponse> responses) {
		long openedByMs = responses.stream().mapToLong(EndedResponse::endedAtMs).min().orElse(0);
		return this.relay.connections().idleChannel(this.state.server(), openedByMs);
	}

	private void holdConnection(List<EndedResponse> covered) {
		BackendServer server = this.state.server();
		Channel idle = findIdle(covered);
		if (idle == null) {
			holdNewConnection(server, covered);
			return;
		}
		afterDelay(HOLD_MS, () -> {
			if (idle.isActive()) {
				onResult(covered, Result.RUNNING, "idle_connection_kept");
			}
			else {
				holdNewConnection(server, covered);
			}
		});
	}

	private void holdNewConnection(BackendServer server, List<EndedResponse> covered) {
		this.relay.connections().probe(server, (probed, channel) -> {
			switch (probed) {
				case ACCEPTED -> {
					channel.pipeline().addLast(new CloseOnReset());
					afterDelay(HOLD_MS, () -> {
						boolean kept = channel.isActive();
						channel.close();
						onNewConnection(covered, kept ? Result.RUNNING : Result.RESET,
								kept ? "new_connection_kept" : "new_connection_closed");
					});
				}
				case RESET -> onNewConnection(covered, Result.RESET, "new_connection_reset");
				case REFUSED -> onResult(covered, Result.UNKNOWN, "refused");
				case UNREACHABLE -> onResult(covered, Result.UNKNOWN, "unreachable");
			}
		});
	}

	private void afterDelay(long delayMs, Runnable task) {
		this.loop.schedule(() -> this.loop.schedule(task, READ_AGAIN_MS, TimeUnit.MILLISECONDS), delayMs,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * What a connection of a check shows about the incarnation.
	 */
	enum Result {

		/** It certainly still runs. */
		RUNNING,

		/** Another incarnation runs at its address. */
		REPLACED,

		/** It accepts no new connections now, or is ending. */
		RESET,

		/** Nothing, and further connections would show no more. */
		UNKNOWN

	}

	/**
	 * A reset is the answer of a process that ends; the check sees the closed channel.
	 */
	private static final class CloseOnReset extends ChannelInboundHandlerAdapter {

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
