package io.verbenacleat.router.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.platform.HttpCalls;
import io.verbenacleat.core.platform.PlatformException;
import io.verbenacleat.router.budget.FleetRouter;
import io.verbenacleat.router.budget.GrantRow;
import io.verbenacleat.router.budget.LoanRequest;
import io.verbenacleat.router.budget.TokenPeers;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.log.DecisionLog;
import io.verbenacleat.router.quarantine.CrashReport;
import io.verbenacleat.router.quarantine.CrashReportPeers;
import io.verbenacleat.router.server.BackendServer;
import io.verbenacleat.router.server.EvacuationState;
import org.jspecify.annotations.Nullable;

/**
 * Client of the other routers: borrows and transfers tokens, passes on crash reports and
 * evacuated zones, and refreshes the state of the fleet while the store is unreachable.
 * Confined to the control thread.
 */
public final class PeerClient implements TokenPeers, CrashReportPeers, AutoCloseable {

	/**
	 * Another router is asked for a snapshot when the list of servers is older than this,
	 * and for the evacuated zones when the store has not confirmed those for as long. The
	 * store responds to a poll within 1.5 s, and polls of the list are 200 ms apart.
	 */
	static final Duration STALE_SERVERS_AGE = Duration.ofMillis(2_200);

	/**
	 * Another router is asked no earlier than this after the start. A reachable store is
	 * read within this time.
	 */
	static final Duration STARTUP_GRACE_PERIOD = Duration.ofMillis(300);

	/**
	 * A list of servers replaces one that is older by more than this. Backend servers
	 * renew their registrations about this often.
	 */
	private static final Duration MIN_AGE_GAIN = Duration.ofSeconds(1);

	private static final Duration INTERVAL = Duration.ofMillis(250);

	/** Maximum wait of requests for loans. A response takes a few milliseconds. */
	private static final Duration BORROW_TIMEOUT = Duration.ofMillis(200);

	/**
	 * Maximum wait for the primary router, which may have to collect tokens from others.
	 */
	private static final Duration REFILL_TIMEOUT = Duration.ofMillis(350);

	/**
	 * Lenders that are asked at the same time; a few of many routers have tokens to lend.
	 */
	private static final int MAX_LENDERS = 4;

	/**
	 * Routers that get a crash report from each router to which it is new, so that all of
	 * several hundred have it after three calls.
	 */
	private static final int MAX_REPORT_RECEIVERS = 6;

	/** Routers that are told of each grant; one that runs on is enough. */
	private static final int MAX_WITNESSES = 3;

	/** Maximum wait of requests for a router that remembers their grant. */
	private static final Duration ANNOUNCE_TIMEOUT = Duration.ofMillis(150);

	/**
	 * Routers that get a change of the evacuated zones from each router to which it is
	 * new, so that all of several hundred have it after three calls.
	 */
	private static final int MAX_EVACUATION_RECEIVERS = 6;

	/**
	 * Routers that are asked for the evacuated zones by a router that starts without the
	 * store: all in fleets of up to this size, and enough of a larger one, in which each
	 * change reaches all within a few calls.
	 */
	private static final int MAX_STARTUP_SOURCES = 64;

	/** Maximum wait for evacuated zones. A response takes a few milliseconds. */
	private static final Duration EVACUATIONS_TIMEOUT = Duration.ofMillis(150);

	private final String ownAddress;

	private final PeerDirectory directory;

	private final PeerCalls calls;

	private final ControlThread control;

	private final DecisionLog log;

	private final long startedAtNanos;

	private @Nullable Cancellable timer;

	private boolean refreshing;

	private @Nullable FleetView fleet;

	/**
	 * Creates a client.
	 * @param ownAddress the peer address of this router as {@code ip:port}
	 * @param seeds the peer addresses of some routers, which may be down
	 * @param calls the HTTP client, whose timeout applies to each call
	 * @param control the control thread
	 * @param log receives a line for each state taken from another router and each failed
	 * call
	 */
	public PeerClient(String ownAddress, Collection<String> seeds, HttpCalls calls, ControlThread control,
			DecisionLog log) {
		this(ownAddress, new PeerDirectory(ownAddress, seeds, new Random()), new HttpPeerCalls(calls), control, log);
	}

	PeerClient(String ownAddress, PeerDirectory directory, PeerCalls calls, ControlThread control, DecisionLog log) {
		this.ownAddress = ownAddress;
		this.directory = directory;
		this.calls = calls;
		this.control = control;
		this.log = log;
		this.startedAtNanos = control.nanoTime();
	}

	/**
	 * Starts to refresh the configuration and the servers whenever they are missing or
	 * stale.
	 * @param fleet the state of this router
	 */
	public void start(FleetView fleet) {
		this.fleet = fleet;
		this.timer = this.control.scheduleWithFixedDelay(INTERVAL, () -> refresh(fleet));
	}

	@Override
	public void close() {
		Cancellable running = this.timer;
		if (running != null) {
			running.cancel();
		}
	}

	/**
	 * Adds the peer addresses of routers.
	 * @param addresses the addresses; known ones are ignored
	 */
	public void addPeers(Collection<String> addresses) {
		this.directory.add(addresses);
	}

	/**
	 * Adds the peer address of a router.
	 * @param address the address; a known one is ignored
	 */
	void addPeer(String address) {
		this.directory.add(List.of(address));
	}

	/**
	 * Returns the peer addresses of all known routers.
	 * @return the addresses, including that of this router
	 */
	List<String> fleetAddresses() {
		List<String> known = new ArrayList<>(this.directory.addresses());
		known.add(this.ownAddress);
		return known;
	}

	@Override
	public CompletableFuture<Void> borrow(Map<String, LoanRequest> requests, List<String> holders,
			Consumer<Map<String, Long>> receiver) {
		List<CompletableFuture<Void>> responses = new ArrayList<>();
		List<String> lenders = holders.isEmpty() ? this.directory.select(MAX_LENDERS, this.control.nanoTime())
				: this.directory.selectByHost(holders, this.control.nanoTime());
		Map<String, LoanRequest> divided = new HashMap<>();
		requests.forEach((workspace, loan) -> divided.put(workspace, loan.dividedAmong(Math.max(1, lenders.size()))));
		PeerCalls.BorrowRequest request = new PeerCalls.BorrowRequest(divided, this.ownAddress);
		for (String address : lenders) {
			responses.add(this.calls.borrow(address, request)
				.whenCompleteAsync((tokens, failure) -> onResponse(address, failure), this.control)
				.thenAcceptAsync(receiver, this.control)
				.exceptionally((failure) -> null));
		}
		CompletableFuture<Void> done = CompletableFuture.allOf(responses.toArray(new CompletableFuture<?>[0]));
		this.control.schedule(BORROW_TIMEOUT, () -> done.complete(null));
		return done;
	}

	@Override
	public CompletableFuture<Void> borrowFrom(FleetRouter lender, Map<String, LoanRequest> requests,
			Consumer<Map<String, Long>> receiver) {
		String address = lender.peerAddress();
		CompletableFuture<Void> responded = new CompletableFuture<>();
		this.calls.borrow(address, new PeerCalls.BorrowRequest(requests, this.ownAddress))
			.whenCompleteAsync((tokens, failure) -> {
				onResponse(address, failure);
				if (failure != null) {
					responded.completeExceptionally(failure);
				}
				else {
					receiver.accept(tokens);
					responded.complete(null);
				}
			}, this.control);
		this.control.schedule(REFILL_TIMEOUT,
				() -> responded.completeExceptionally(new TimeoutException("No response of " + address)));
		return responded;
	}

	@Override
	public CompletableFuture<Boolean> transfer(Map<String, Long> tokens) {
		List<String> selected = this.directory.select(1, this.control.nanoTime());
		if (selected.isEmpty()) {
			return CompletableFuture.completedFuture(false);
		}
		String address = selected.get(0);
		return this.calls.transfer(address, tokens).whenCompleteAsync((accepted, failure) -> {
			if (failure != null || !accepted) {
				onFailure(address, "tokens were not accepted");
			}
		}, this.control);
	}

	@Override
	public CompletableFuture<Boolean> announce(Map<String, GrantRow> rows) {
		PeerCalls.Grants message = new PeerCalls.Grants(rows);
		CompletableFuture<Boolean> remembered = new CompletableFuture<>();
		List<CompletableFuture<?>> responses = new ArrayList<>();
		for (String address : this.directory.select(MAX_WITNESSES, this.control.nanoTime())) {
			responses.add(this.calls.announce(address, message).whenCompleteAsync((received, failure) -> {
				onResponse(address, failure);
				if (failure == null) {
					remembered.complete(true);
				}
			}, this.control));
		}
		CompletableFuture.allOf(responses.toArray(new CompletableFuture<?>[0]))
			.whenComplete((done, failure) -> remembered.complete(false));
		this.control.schedule(ANNOUNCE_TIMEOUT, () -> remembered.complete(false));
		return remembered;
	}

	@Override
	public void sendReports(List<CrashReport> reports) {
		PeerCalls.CrashReports message = new PeerCalls.CrashReports(reports);
		for (String address : this.directory.select(MAX_REPORT_RECEIVERS, this.control.nanoTime())) {
			this.calls.report(address, message)
				.whenCompleteAsync((received, failure) -> onResponse(address, failure), this.control);
		}
	}

	/**
	 * Exchanges what is known of the evacuated zones with some routers, after it has
	 * changed. Does nothing before the start.
	 */
	public void spreadEvacuations() {
		FleetView view = this.fleet;
		if (view != null) {
			exchangeEvacuations(view, this.directory.select(MAX_EVACUATION_RECEIVERS, this.control.nanoTime()));
		}
	}

	private CompletableFuture<Void> exchangeEvacuations(FleetView view, List<String> addresses) {
		FleetSnapshot.Request request = FleetSnapshot.Request.ofEvacuations(this.ownAddress, view.evacuations());
		List<CompletableFuture<Void>> responses = new ArrayList<>();
		for (String address : addresses) {
			responses.add(this.calls.fetchSnapshot(address, request).handleAsync((snapshot, failure) -> {
				onResponse(address, failure);
				if (snapshot != null) {
					applyEvacuations(view, snapshot, address);
				}
				return null;
			}, this.control));
		}
		CompletableFuture<Void> done = CompletableFuture.allOf(responses.toArray(new CompletableFuture<?>[0]));
		this.control.schedule(EVACUATIONS_TIMEOUT, () -> done.complete(null));
		return done;
	}

	private static void applyEvacuations(FleetView view, FleetSnapshot snapshot, String address) {
		EvacuationState received = snapshot.evacuations();
		if (received != null) {
			view.applyEvacuations(received, address);
		}
	}

	private boolean isStale(long ageMs) {
		return (ageMs == Long.MAX_VALUE)
				? this.control.nanoTime() - this.startedAtNanos > STARTUP_GRACE_PERIOD.toNanos()
				: ageMs > STALE_SERVERS_AGE.toMillis();
	}

	private void refresh(FleetView view) {
		long nowNanos = this.control.nanoTime();
		long ageMs = view.serversAgeMs();
		if (!isStale(ageMs)) {
			if (isStale(view.evacuationsAgeMs())) {
				exchangeEvacuations(view, this.directory.select(1, nowNanos));
			}
			return;
		}
		if (this.refreshing) {
			return;
		}
		for (String address : this.directory.select(1, nowNanos)) {
			this.refreshing = true;
			RoutingTable table = view.configuration();
			FleetSnapshot.Request request = new FleetSnapshot.Request((table != null) ? table.version() : -1, ageMs,
					this.ownAddress, FleetSnapshot.toMessage(view.evacuations()), false);
			this.calls.fetchSnapshot(address, request).whenCompleteAsync((snapshot, failure) -> {
				onResponse(address, failure);
				if (snapshot == null) {
					this.refreshing = false;
					return;
				}
				apply(view, snapshot, address);
				beforeServers(view, snapshot, address).whenCompleteAsync((done, ignored) -> {
					this.refreshing = false;
					applyServers(view, snapshot, address, Duration.ofNanos(this.control.nanoTime() - nowNanos));
				}, this.control);
			}, this.control);
		}
	}

	// A router without servers sends no requests until it has asked all others for the
	// evacuated zones, since the one that has sent the servers may not know a new one.
	private CompletableFuture<Void> beforeServers(FleetView view, FleetSnapshot snapshot, String address) {
		if (snapshot.servers() == null || view.serversAgeMs() != Long.MAX_VALUE) {
			return CompletableFuture.completedFuture(null);
		}
		List<String> others = new ArrayList<>(this.directory.select(MAX_STARTUP_SOURCES, this.control.nanoTime()));
		others.remove(address);
		return exchangeEvacuations(view, others);
	}

	private void apply(FleetView view, FleetSnapshot snapshot, String address) {
		this.directory.add(snapshot.peers());
		applyEvacuations(view, snapshot, address);
		FleetSnapshot.Config config = snapshot.config();
		if (config != null) {
			this.log.event("peer.config").with("peer", address).with("version", config.version()).emit();
			view.applyConfiguration(config.toTable());
		}
		List<CrashReport> crashReports = snapshot.crashReports();
		if (crashReports != null) {
			view.applyCrashReports(crashReports);
		}
	}

	// The duration of the call is added to the age, so that a list never appears younger
	// after it is passed between routers.
	private void applyServers(FleetView view, FleetSnapshot snapshot, String address, Duration callTime) {
		List<BackendServer> servers = snapshot.servers();
		long ageMs = snapshot.serversAgeMs() + callTime.toMillis();
		if (servers != null && ageMs < view.serversAgeMs() - MIN_AGE_GAIN.toMillis()) {
			this.log.event("peer.servers")
				.with("peer", address)
				.with("servers", servers.size())
				.with("age_ms", ageMs)
				.emit();
			view.applyServers(servers, ageMs);
		}
	}

	private void onResponse(String address, @Nullable Throwable failure) {
		if (failure != null) {
			onFailure(address, PlatformException.reason(failure));
		}
		else {
			this.directory.onSuccess(address);
		}
	}

	private void onFailure(String address, String reason) {
		this.directory.onFailure(address, this.control.nanoTime());
		this.log.event("peer.silent").with("peer", address).with("reason", reason).emit();
	}

}
