package io.verbenacleat.router.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.platform.HttpCalls;
import io.verbenacleat.core.platform.PlatformException;
import io.verbenacleat.router.budget.TokenPeers;
import io.verbenacleat.router.budget.TokenWish;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.log.DecisionLog;
import io.verbenacleat.router.server.BackendServer;
import org.jspecify.annotations.Nullable;

/**
 * The link of this router to the others, used while the store cannot be reached. Used on
 * the control thread.
 */
public final class PeerClient implements TokenPeers, AutoCloseable {

	/**
	 * Without an answer of the store for this long, another router is asked. The store
	 * answers a feed call every 1.5 s, and the list of servers pauses 0.2 s between two.
	 */
	static final Duration STALE_AFTER = Duration.ofMillis(2_200);

	/** A process that starts reads the store within this time, when it can be reached. */
	static final Duration START_WAIT = Duration.ofMillis(300);

	/** Backend servers write their registrations about this often. */
	private static final Duration MIN_GAIN = Duration.ofSeconds(1);

	private static final Duration INTERVAL = Duration.ofMillis(250);

	/** Waiting requests are not held longer for answers; one takes some milliseconds. */
	private static final Duration BORROW_WAIT = Duration.ofMillis(200);

	/** Of many routers, a few have tokens to spare. */
	private static final int ASKED_PEERS = 4;

	private final String ownAddress;

	private final PeerBook book;

	private final PeerCalls calls;

	private final ControlThread control;

	private final DecisionLog log;

	private final long startedAtNanos;

	private @Nullable Cancellable timer;

	private boolean asking;

	/**
	 * Creates a link.
	 * @param ownAddress where this router listens for others, as {@code ip:port}
	 * @param seeds the addresses of some routers, which may be down
	 * @param calls whose threads and connections are used; its timeout holds
	 * @param control the control thread
	 * @param log gets a line for each change of what is believed
	 */
	public PeerClient(String ownAddress, Collection<String> seeds, HttpCalls calls, ControlThread control,
			DecisionLog log) {
		this(ownAddress, new PeerBook(ownAddress, seeds, new Random()), new HttpPeerCalls(calls), control, log);
	}

	PeerClient(String ownAddress, PeerBook book, PeerCalls calls, ControlThread control, DecisionLog log) {
		this.ownAddress = ownAddress;
		this.book = book;
		this.calls = calls;
		this.control = control;
		this.log = log;
		this.startedAtNanos = control.nanoTime();
	}

	/**
	 * Starts to ask for the configuration and the servers when they are missing or old.
	 * @param fleet what this router knows
	 */
	public void start(FleetView fleet) {
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
	 * Takes the addresses of routers.
	 * @param addresses the addresses; those that are known stay as they are
	 */
	public void addPeers(Collection<String> addresses) {
		this.book.add(addresses);
	}

	void heardOf(String address) {
		this.book.add(List.of(address));
	}

	List<String> peers() {
		List<String> known = new ArrayList<>(this.book.all());
		known.add(this.ownAddress);
		return known;
	}

	@Override
	public CompletableFuture<Void> borrow(Map<String, TokenWish> wishes, List<String> holders,
			Consumer<Map<String, Long>> taker) {
		List<CompletableFuture<Void>> answers = new ArrayList<>();
		List<String> asked = holders.isEmpty() ? this.book.select(ASKED_PEERS, this.control.nanoTime())
				: this.book.selectHosts(holders, this.control.nanoTime());
		Map<String, TokenWish> divided = new HashMap<>();
		wishes.forEach((workspace, wish) -> divided.put(workspace, wish.dividedBy(Math.max(1, asked.size()))));
		PeerCalls.BorrowQuestion question = new PeerCalls.BorrowQuestion(divided, this.ownAddress);
		for (String address : asked) {
			answers.add(this.calls.borrow(address, question)
				.whenCompleteAsync((tokens, failure) -> noteAnswer(address, failure), this.control)
				.thenAcceptAsync(taker, this.control)
				.exceptionally((failure) -> null));
		}
		CompletableFuture<Void> done = CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0]));
		this.control.schedule(BORROW_WAIT, () -> done.complete(null));
		return done;
	}

	@Override
	public CompletableFuture<Boolean> give(Map<String, Long> tokens) {
		List<String> selected = this.book.select(1, this.control.nanoTime());
		if (selected.isEmpty()) {
			return CompletableFuture.completedFuture(false);
		}
		String address = selected.get(0);
		return this.calls.give(address, tokens).whenCompleteAsync((taken, failure) -> {
			if (failure != null || !taken) {
				noteFailure(address, "tokens were not taken");
			}
		}, this.control);
	}

	private void refresh(FleetView fleet) {
		long nowNanos = this.control.nanoTime();
		long ageMs = fleet.serversAgeMs();
		boolean old = (ageMs == Long.MAX_VALUE) ? nowNanos - this.startedAtNanos > START_WAIT.toNanos()
				: ageMs > STALE_AFTER.toMillis();
		if (!old || this.asking) {
			return;
		}
		for (String address : this.book.select(1, nowNanos)) {
			RoutingTable table = fleet.configuration();
			this.asking = true;
			long askedAtNanos = nowNanos;
			this.calls
				.fleet(address,
						new FleetSnapshot.Question((table != null) ? table.version() : -1, ageMs, this.ownAddress))
				.whenCompleteAsync((snapshot, failure) -> {
					this.asking = false;
					noteAnswer(address, failure);
					if (snapshot != null) {
						take(fleet, snapshot, address, Duration.ofNanos(this.control.nanoTime() - askedAtNanos));
					}
				}, this.control);
		}
	}

	// The age grows by the time of the call, so that a list does not become younger while
	// it passes between routers.
	private void take(FleetView fleet, FleetSnapshot snapshot, String address, Duration callTime) {
		this.book.add(snapshot.peers());
		FleetSnapshot.Config config = snapshot.config();
		if (config != null) {
			this.log.event("peer.config").with("peer", address).with("version", config.version()).emit();
			fleet.applyConfiguration(config.toTable());
		}
		List<BackendServer> servers = snapshot.servers();
		long ageMs = snapshot.serversAgeMs() + callTime.toMillis();
		if (servers != null && ageMs < fleet.serversAgeMs() - MIN_GAIN.toMillis()) {
			this.log.event("peer.servers")
				.with("peer", address)
				.with("servers", servers.size())
				.with("age_ms", ageMs)
				.emit();
			fleet.applyServers(servers, ageMs);
		}
	}

	private void noteAnswer(String address, @Nullable Throwable failure) {
		if (failure != null) {
			noteFailure(address, PlatformException.reason(failure));
		}
		else {
			this.book.onAnswer(address);
		}
	}

	private void noteFailure(String address, String reason) {
		this.book.onFailure(address, this.control.nanoTime());
		this.log.event("peer.silent").with("peer", address).with("reason", reason).emit();
	}

}
