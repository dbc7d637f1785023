package io.verbenacleat.router.budget;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WriteOutcome;
import io.verbenacleat.router.config.CallerLimits;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.config.Workspace;
import io.verbenacleat.router.log.DecisionLog;

/**
 * Ledgers of several routers on one store, in virtual time. Tokens count as used when a
 * request is granted, since a lost router may have sent the request.
 */
final class LedgerFleet {

	static final String WORKSPACE = "w";

	/** Time after which a round of borrowing ends. */
	private static final Duration LOAN_TIMEOUT = Duration.ofMillis(100);

	private static final Duration ANNOUNCE_TIMEOUT = Duration.ofMillis(150);

	private static final Duration SLOW_TRANSFER_TIME = Duration.ofMillis(300);

	/** The ledger of the constructor and that of the first start. */
	private static final int FIRST_INCARNATIONS = 2;

	private static final Duration STEP = Duration.ofMillis(50);

	final ManualControlThread control = new ManualControlThread(Instant.ofEpochSecond(1_000));

	final RestorableStore store = new RestorableStore(this.control::nanoTime);

	final List<Router> routers = new ArrayList<>();

	/** The names of the workspaces, {@link #WORKSPACE} only unless more are added. */
	final Set<String> workspaces = new LinkedHashSet<>(List.of(WORKSPACE));

	/** The time of a write between a router and the store, in one direction. */
	Duration writeDelay = Duration.ZERO;

	PeerFault peerFault = PeerFault.UNREACHABLE;

	long allowance;

	long largestAllowance;

	long configVersion;

	long usedTokens;

	final Map<String, Long> usedByWorkspace = new HashMap<>();

	long served;

	long refusedAsExhausted;

	long refusedTemporarily;

	LedgerFleet(int routers, long allowance) {
		for (int i = 0; i < routers; i++) {
			this.routers.add(new Router("10.0.0." + i + ":1"));
		}
		setAllowance(allowance);
		this.routers.forEach(Router::start);
	}

	void setAllowance(long tokens) {
		this.allowance = tokens;
		this.largestAllowance = Math.max(this.largestAllowance, tokens);
		this.configVersion++;
		this.routers.forEach(Router::configure);
	}

	void advance(Duration duration) {
		for (Duration left = duration; left.compareTo(Duration.ZERO) > 0; left = left.minus(STEP)) {
			this.control.advance(STEP);
			this.control.runPending();
		}
	}

	RoutingTable table() {
		return new RoutingTable(this.configVersion, List.of(), List.of(),
				this.workspaces.stream().map((name) -> new Workspace(name, List.of(name), 0, this.allowance)).toList(),
				new CallerLimits(1_000, 1_000, 1_000, 1_000));
	}

	/**
	 * Makes all routers known to each other.
	 * @param capacityCores the capacity of each host
	 */
	void introduceRouters(double capacityCores) {
		List<FleetRouter> all = this.routers.stream()
			.map((router) -> new FleetRouter(router.address, router.address, capacityCores))
			.toList();
		this.routers.forEach((router) -> router.ledger().updateRouters(all));
	}

	/**
	 * One router with its access to the store.
	 */
	final class Router {

		final String address;

		final FaultyStore store = new FaultyStore(new DelayedStore(), LedgerFleet.this.store::era);

		private PrepaidLedger ledger;

		private int incarnationCount;

		private boolean alive;

		Router(String address) {
			this.address = address;
			this.ledger = newLedger();
			this.ledger.close();
		}

		void start() {
			this.ledger = newLedger();
			this.alive = true;
			configure();
		}

		void kill() {
			this.ledger.close();
			this.alive = false;
		}

		boolean isAlive() {
			return this.alive;
		}

		PrepaidLedger ledger() {
			return this.ledger;
		}

		void configure() {
			if (this.alive) {
				this.ledger.configure(table());
			}
		}

		/**
		 * Sends a request that uses all of its tokens once they are granted.
		 * @param tokens the tokens
		 */
		void request(long tokens) {
			request(WORKSPACE, tokens);
		}

		/**
		 * Sends a request that uses all of its tokens once they are granted.
		 * @param workspace the workspace
		 * @param tokens the tokens
		 */
		void request(String workspace, long tokens) {
			Wallet wallet = this.ledger.wallet(workspace);
			if (wallet.tryReserve(tokens)) {
				use(wallet, tokens);
				return;
			}
			PrepaidLedger requestedLedger = this.ledger;
			wallet.await(new Wallet.Waiter() {
				@Override
				public long tokens() {
					return tokens;
				}

				@Override
				public void granted() {
					if (Router.this.alive && requestedLedger == Router.this.ledger) {
						use(wallet, tokens);
					}
				}

				@Override
				public void refused(boolean allowanceUsedUp) {
					if (allowanceUsedUp) {
						LedgerFleet.this.refusedAsExhausted++;
					}
					else {
						LedgerFleet.this.refusedTemporarily++;
					}
				}
			});
			this.ledger.wake();
		}

		private void use(Wallet wallet, long tokens) {
			LedgerFleet.this.usedTokens += tokens;
			LedgerFleet.this.usedByWorkspace.merge(wallet.workspace(), tokens, Long::sum);
			LedgerFleet.this.served++;
			wallet.settle(tokens, tokens);
		}

		private PrepaidLedger newLedger() {
			ManualControlThread control = LedgerFleet.this.control;
			this.incarnationCount++;
			return new PrepaidLedger(
					new PrepaidLedger.Identity(this.address, "", this.address + "/" + this.incarnationCount,
							control.nanoTime(), this.incarnationCount <= FIRST_INCARNATIONS),
					this.store, new SteadyStoreClock(), this.store, new FleetPeers(this), control,
					new DecisionLog(() -> 0));
		}

	}

	/**
	 * Calls the exchanges of the other routers of the fleet without a network.
	 */
	private final class FleetPeers implements TokenPeers {

		private final Router self;

		FleetPeers(Router self) {
			this.self = self;
		}

		@Override
		public CompletableFuture<Void> borrow(Map<String, LoanRequest> requests, List<String> holders,
				Consumer<Map<String, Long>> receiver) {
			List<Router> lenders = holders.isEmpty() ? others() : holders(holders);
			Map<String, LoanRequest> divided = new HashMap<>();
			requests.forEach(
					(workspace, request) -> divided.put(workspace, request.dividedAmong(Math.max(1, lenders.size()))));
			for (Router router : lenders) {
				router.ledger().exchange().lend(divided, this.self.address).thenAccept((lent) -> {
					if (LedgerFleet.this.peerFault != PeerFault.RESPONSE_LOST) {
						receiver.accept(lent);
					}
				});
			}
			CompletableFuture<Void> done = new CompletableFuture<>();
			LedgerFleet.this.control.schedule(LOAN_TIMEOUT, () -> done.complete(null));
			return done;
		}

		@Override
		public CompletableFuture<Void> borrowFrom(FleetRouter lender, Map<String, LoanRequest> requests,
				Consumer<Map<String, Long>> receiver) {
			CompletableFuture<Void> responded = new CompletableFuture<>();
			for (Router router : holders(List.of(lender.address()))) {
				router.ledger().exchange().lend(requests, this.self.address).thenAccept((lent) -> {
					if (LedgerFleet.this.peerFault != PeerFault.RESPONSE_LOST) {
						receiver.accept(lent);
						responded.complete(null);
					}
				});
			}
			LedgerFleet.this.control.schedule(LOAN_TIMEOUT,
					() -> responded.completeExceptionally(new TimeoutException("no response")));
			return responded;
		}

		@Override
		public CompletableFuture<Boolean> transfer(Map<String, Long> tokens) {
			for (Router router : others()) {
				CompletableFuture<Boolean> accepted = new CompletableFuture<>();
				Duration time = (LedgerFleet.this.peerFault == PeerFault.SLOW) ? SLOW_TRANSFER_TIME : Duration.ZERO;
				LedgerFleet.this.control.schedule(time, () -> {
					router.ledger().exchange().receive(tokens);
					accepted.complete(true);
				});
				return accepted;
			}
			return CompletableFuture.completedFuture(false);
		}

		@Override
		public CompletableFuture<Boolean> announce(Map<String, GrantRow> rows) {
			if (LedgerFleet.this.peerFault == PeerFault.UNREACHABLE) {
				return CompletableFuture.completedFuture(false);
			}
			CompletableFuture<Boolean> remembered = new CompletableFuture<>();
			Duration time = (LedgerFleet.this.peerFault == PeerFault.SLOW) ? SLOW_TRANSFER_TIME : Duration.ZERO;
			LedgerFleet.this.control.schedule(time, () -> {
				others().forEach((router) -> router.ledger().remember(rows));
				remembered.complete(LedgerFleet.this.peerFault != PeerFault.RESPONSE_LOST);
			});
			LedgerFleet.this.control.schedule(ANNOUNCE_TIMEOUT, () -> remembered.complete(false));
			return remembered;
		}

		private List<Router> holders(List<String> addresses) {
			return addresses.stream()
				.flatMap((address) -> others().stream().filter((router) -> router.address.equals(address)))
				.toList();
		}

		private List<Router> others() {
			if (LedgerFleet.this.peerFault == PeerFault.UNREACHABLE) {
				return List.of();
			}
			return LedgerFleet.this.routers.stream()
				.filter((router) -> router != this.self && router.isAlive())
				.toList();
		}

	}

	/**
	 * Applies writes some time after they were sent.
	 */
	private final class DelayedStore implements TableStore {

		@Override
		public CompletableFuture<List<Row>> read(List<String> keys) {
			return LedgerFleet.this.store.read(keys);
		}

		@Override
		public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
			return LedgerFleet.this.store.scan(prefix, after, limit);
		}

		@Override
		public CompletableFuture<WriteOutcome> transact(Transaction transaction) {
			Duration delay = LedgerFleet.this.writeDelay;
			if (delay.isZero()) {
				return LedgerFleet.this.store.transact(transaction);
			}
			CompletableFuture<WriteOutcome> outcome = new CompletableFuture<>();
			LedgerFleet.this.control.schedule(delay, () -> {
				WriteOutcome applied = LedgerFleet.this.store.transact(transaction).getNow(null);
				LedgerFleet.this.control.schedule(delay, () -> outcome.complete(applied));
			});
			return outcome;
		}

	}

	/**
	 * Faults of calls between routers.
	 */
	enum PeerFault {

		NONE, UNREACHABLE, RESPONSE_LOST, SLOW

	}

	private final class SteadyStoreClock implements StoreClock {

		@Override
		public long earliestMs() {
			return Duration.ofNanos(LedgerFleet.this.control.nanoTime()).toMillis();
		}

		@Override
		public long latestMs() {
			return earliestMs() + 1;
		}

	}

}
