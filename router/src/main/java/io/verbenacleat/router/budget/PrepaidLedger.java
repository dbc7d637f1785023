package io.verbenacleat.router.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.PlatformException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.WriteOutcome;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.config.Workspace;
import io.verbenacleat.router.log.DecisionLog;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the spending of workspaces within their prepaid tokens. A router takes tokens
 * from the shared row of a workspace before it spends them, so that the allowance is
 * never exceeded, even if routers are lost or disconnected. Wallets are safe for use by
 * several threads; everything else is confined to the control thread.
 * <p>
 * Each router also writes a row of its own with the maximum that it may have spent. It
 * may exceed that limit only after it was out of contact with the store for
 * {@link #LIMIT_TIMEOUT}. A process that restarts at the same address within that time
 * returns the tokens above the limit to the pool.
 * <p>
 * All rows are written in one transaction. A transaction without a known outcome is
 * retried unchanged until a read shows whether it was applied.
 */
public final class PrepaidLedger implements AutoCloseable {

	/** Prefix of the keys of shared rows. */
	static final String GRANT_PREFIX = "ledger/grant/";

	/** Prefix of the keys of router rows. */
	public static final String ROUTER_PREFIX = "ledger/router/";

	/**
	 * A router that was out of contact for this time may spend beyond its limit. A killed
	 * process restarts within it.
	 */
	static final Duration LIMIT_TIMEOUT = Duration.ofMillis(2_400);

	private static final Duration ROUND_INTERVAL = Duration.ofMillis(250);

	/**
	 * Maximum interval between two writes of the router row while its limits are not
	 * empty.
	 */
	private static final Duration MAX_WRITE_AGE = Duration.ofMillis(1_000);

	/**
	 * Maximum interval between two writes of the router row without limits, by which
	 * other routers know that this one runs. Shorter than the interval of their polls.
	 */
	private static final Duration MAX_IDLE_WRITE_AGE = RouterDiscovery.INTERVAL.dividedBy(2);

	private static final Duration RETURN_POLL_INTERVAL = Duration.ofMillis(20);

	/**
	 * Other routers are asked for tokens when a round takes longer than this. The store
	 * responds within 4 ms, on slow days within 240 ms.
	 */
	private static final Duration UNRESPONSIVE_AFTER = Duration.ofMillis(300);

	/**
	 * Requests are refused only on the basis of rows that were read within this time.
	 */
	private static final Duration MAX_ROW_AGE = Duration.ofMillis(500);

	/**
	 * Maximum part of the pool in one loan, beyond what waiting requests need. Several
	 * disconnected routers may borrow at the same time.
	 */
	private static final double MAX_LOAN_FRACTION = 0.1;

	private static final double NANOS_PER_SECOND = 1e9;

	private final Identity identity;

	private final String routerKey;

	private final TableStore store;

	private final StoreClock storeClock;

	private final ControlThread control;

	private final DecisionLog log;

	private final long startedAtNanos;

	private final Map<String, Wallet> wallets = new ConcurrentHashMap<>();

	private final Map<String, GrantAccount> accounts = new HashMap<>();

	private final TokenExchange exchange;

	private final Cancellable timer;

	private @Nullable RoutingTable config;

	private @Nullable LedgerWrite pending;

	private @Nullable RouterRow predecessor;

	private Map<String, RouterRow.Limit> appliedLimits = Map.of();

	private long routerVersion = -1;

	private long writeNumber;

	private boolean rowWritten;

	private boolean roundInProgress;

	private boolean roundScheduled;

	private boolean readNeeded = true;

	private boolean returningTokens;

	private long demandUpdatedAtNanos;

	private long roundStartedAtNanos;

	private long readAtNanos;

	private long lastWriteAtNanos;

	private long previousWriteAtNanos;

	private boolean storeUnreachable;

	/**
	 * Creates a ledger and starts its timer.
	 * @param identity the identity of this router
	 * @param store the table service
	 * @param storeClock the clock of the table service
	 * @param peers the other routers
	 * @param control the control thread
	 * @param log receives a line for each change of a grant and each failure of the store
	 */
	public PrepaidLedger(Identity identity, TableStore store, StoreClock storeClock, TokenPeers peers,
			ControlThread control, DecisionLog log) {
		this.identity = identity;
		this.routerKey = ROUTER_PREFIX + identity.address();
		this.store = store;
		this.storeClock = storeClock;
		this.control = control;
		this.log = log;
		this.exchange = new TokenExchange(this.wallets, new StorePool(), peers, control, log);
		this.startedAtNanos = identity.startedAtNanos();
		this.demandUpdatedAtNanos = control.nanoTime();
		this.lastWriteAtNanos = this.demandUpdatedAtNanos;
		this.timer = control.scheduleWithFixedDelay(ROUND_INTERVAL, this::tick);
	}

	/**
	 * Returns the wallet of a workspace.
	 * @param workspace the name of the workspace
	 * @return the wallet, created on first use
	 */
	public Wallet wallet(String workspace) {
		return this.wallets.computeIfAbsent(workspace, Wallet::new);
	}

	/**
	 * Returns the exchange of tokens with other routers.
	 * @return the exchange, confined to the control thread
	 */
	public TokenExchange exchange() {
		return this.exchange;
	}

	/**
	 * Starts a round for waiting requests as soon as possible.
	 */
	public void wake() {
		this.control.execute(() -> {
			if (isStoreUnresponsive()) {
				serveWithoutStore();
			}
			else if (!this.roundScheduled) {
				this.roundScheduled = true;
				this.control.execute(this::startRound);
			}
		});
	}

	/**
	 * Applies a new configuration.
	 * @param table the routing table with the allowances of workspaces
	 */
	public void configure(RoutingTable table) {
		this.config = table;
		wake();
	}

	/**
	 * Stops taking tokens for this router and returns unspent ones as they become free.
	 * Loans to other routers are still served.
	 */
	public void startReturningTokens() {
		this.control.execute(() -> {
			this.returningTokens = true;
			startRound();
		});
	}

	/**
	 * Returns the remaining unspent tokens, after {@link #startReturningTokens}.
	 * @return completes with {@code true} when no tokens are held and no write or
	 * transfer is in flight
	 */
	public CompletableFuture<Boolean> returnAllTokens() {
		CompletableFuture<Boolean> done = new CompletableFuture<>();
		this.control.execute(() -> {
			this.returningTokens = true;
			awaitReturned(done);
		});
		return done;
	}

	@Override
	public void close() {
		this.timer.cancel();
	}

	private void tick() {
		long nowNanos = this.control.nanoTime();
		double elapsedS = (nowNanos - this.demandUpdatedAtNanos) / NANOS_PER_SECOND;
		this.demandUpdatedAtNanos = nowNanos;
		this.wallets.values().forEach((wallet) -> wallet.updateDemand(elapsedS));
		if (nowNanos - this.lastWriteAtNanos > LIMIT_TIMEOUT.toNanos()) {
			this.wallets.values().forEach(Wallet::liftLimit);
		}
		if (isStoreUnresponsive()) {
			serveWithoutStore();
		}
		startRound();
	}

	// A round is a read, if one is needed, and a write; only one is in flight.
	private void startRound() {
		this.roundScheduled = false;
		RoutingTable table = this.config;
		if (this.roundInProgress || table == null) {
			return;
		}
		for (Workspace workspace : table.workspaces()) {
			Wallet wallet = this.wallets.get(workspace.name());
			if (wallet != null && workspace.isPrepaid()) {
				this.accounts
					.computeIfAbsent(workspace.name(), (name) -> new GrantAccount(wallet, this.identity.address()))
					.configure(workspace.prepaidTokens(), table.version());
			}
		}
		this.roundInProgress = true;
		this.roundStartedAtNanos = this.control.nanoTime();
		if (needsRead()) {
			read();
		}
		else {
			write();
		}
	}

	private boolean needsRead() {
		if (this.readNeeded || this.routerVersion < 0) {
			return true;
		}
		boolean stale = this.control.nanoTime() - this.readAtNanos > MAX_ROW_AGE.toNanos();
		for (GrantAccount account : this.accounts.values()) {
			boolean refusing = account.wallet().waitingTokens() > 0 && account.planDelta(this.control.nanoTime()) == 0;
			if (account.row() == null
					|| (stale && refusing && account.wallet().heldTokens() < account.wallet().waitingTokens())) {
				return true;
			}
		}
		return false;
	}

	private void read() {
		List<String> keys = new ArrayList<>();
		keys.add(this.routerKey);
		this.accounts.values().forEach((account) -> keys.add(account.key()));
		this.store.read(keys).whenCompleteAsync((rows, failure) -> {
			if (failure != null) {
				onStoreFailure("grants.unread", PlatformException.reason(failure));
				return;
			}
			try {
				onRows(rows);
				this.readAtNanos = this.control.nanoTime();
			}
			catch (JsonFormatException ex) {
				onStoreFailure("grants.unreadable", String.valueOf(ex.getMessage()));
				return;
			}
			write();
		}, this.control);
	}

	// The rows of a conflict replace a read, during which other routers would write
	// again.
	private void onConflictRows(List<Row> rows) {
		this.readNeeded = true;
		if (rows.stream().noneMatch((row) -> row.key().equals(this.routerKey))) {
			return;
		}
		try {
			onRows(rows);
		}
		catch (JsonFormatException ex) {
			this.log.event("grants.unreadable").with("reason", String.valueOf(ex.getMessage())).emit();
		}
	}

	private void onRows(List<Row> rows) throws JsonFormatException {
		Map<String, Row> byKey = new HashMap<>();
		rows.forEach((row) -> byKey.put(row.key(), row));
		Row own = byKey.getOrDefault(this.routerKey, Row.absent(this.routerKey));
		RouterRow ownRow = own.exists() ? Json.read(own.json(), RouterRow.class) : null;
		Map<GrantAccount, GrantRow> read = new HashMap<>();
		for (GrantAccount account : this.accounts.values()) {
			Row row = byKey.get(account.key());
			if (row != null) {
				read.put(account, row.exists() ? Json.read(row.json(), GrantRow.class) : GrantRow.empty());
			}
		}
		this.readNeeded = false;
		this.storeUnreachable = false;
		boolean writtenByThisRun = ownRow != null && ownRow.incarnation().equals(this.identity.incarnation());
		LedgerWrite unresolved = this.pending;
		if (unresolved != null && writtenByThisRun && ownRow != null
				&& ownRow.number() >= unresolved.routerRow().number()) {
			this.pending = null;
			onApplied(unresolved);
		}
		else if (unresolved != null && !unresolved.canStillApply(rows)) {
			this.pending = null;
			undo(unresolved);
		}
		this.predecessor = (ownRow != null && !writtenByThisRun) ? ownRow : null;
		this.routerVersion = own.version();
		read.forEach(
				(account, row) -> account.onRead(row, byKey.getOrDefault(account.key(), Row.absent(account.key()))));
	}

	private void write() {
		LedgerWrite write = this.pending;
		if (write == null) {
			RouterRow predecessorRow = this.predecessor;
			write = (predecessorRow != null) ? takeOver(predecessorRow) : nextWrite();
		}
		if (write == null) {
			this.roundInProgress = false;
			return;
		}
		LedgerWrite sent = write;
		this.pending = sent;
		this.store.transact(sent.transaction())
			.whenCompleteAsync((outcome, failure) -> onOutcome(sent, outcome), this.control);
	}

	// Returns the tokens to the pool that the previous process at this address cannot
	// have spent.
	private @Nullable LedgerWrite takeOver(RouterRow predecessorRow) {
		long latestMs = this.storeClock.latestMs();
		long uptimeMs = Duration.ofNanos(this.control.nanoTime() - this.startedAtNanos).toMillis();
		boolean inTime = predecessorRow.atMs() >= 0 && latestMs >= 0
				&& (latestMs - uptimeMs) - predecessorRow.atMs() <= LIMIT_TIMEOUT.toMillis();
		for (String workspace : predecessorRow.limits().keySet()) {
			if (!this.accounts.containsKey(workspace)) {
				wallet(workspace);
				this.readNeeded = true;
				this.accounts.put(workspace, new GrantAccount(wallet(workspace), this.identity.address()));
			}
		}
		if (this.readNeeded) {
			this.control.execute(this::startRound);
			return null;
		}
		LedgerWrite write = new LedgerWrite(this.routerKey, this.routerVersion, routerRow(Map.of()),
				this.control.nanoTime());
		predecessorRow.limits().forEach((workspace, limit) -> {
			GrantAccount account = this.accounts.get(workspace);
			GrantRow row = (account != null) ? account.row() : null;
			if (account != null && row != null) {
				long releasedTokens = inTime ? limit.givenTokens() - Math.min(limit.givenTokens(), limit.limitTokens())
						: 0;
				write.add(account, row.withoutRouter(this.identity.address(), releasedTokens), 0);
				this.log.event("grant.takeover")
					.with("workspace", workspace)
					.with("tokens", releasedTokens)
					.with("lost_at_most", limit.givenTokens() - releasedTokens)
					.with("predecessor", predecessorRow.incarnation())
					.with("in_time", inTime)
					.with("stated_at_ms", predecessorRow.atMs())
					.with("lost_before_ms", latestMs - uptimeMs)
					.emit();
			}
		});
		return write;
	}

	private @Nullable LedgerWrite nextWrite() {
		Map<String, RouterRow.Limit> limits = new HashMap<>();
		Map<GrantAccount, Long> deltas = new HashMap<>();
		for (GrantAccount account : this.accounts.values()) {
			// While tokens are being returned, the only waiters are loans to other
			// routers.
			boolean returning = this.returningTokens && account.wallet().waitingTokens() == 0;
			long delta = returning ? -Math.max(0, account.wallet().heldTokens())
					: account.planDelta(this.control.nanoTime());
			boolean lacking = delta == 0 && account.wallet().waitingTokens() > account.wallet().heldTokens();
			if (lacking && !isBorrowing(account)) {
				account.wallet()
					.refuseWaiting(
							(account.row() != null) ? account.unspentByAllTokens() : Wallet.UNKNOWN_UNSPENT_TOKENS);
				// Remainders of several routers can serve a request once they are back in
				// the pool.
				delta = -Math.max(0, account.wallet().heldTokens());
				account.pauseRefills(this.control.nanoTime());
			}
			if (delta < 0) {
				delta = -account.wallet().withdraw(-delta);
			}
			if (delta != 0 || account.isHoldingStale()) {
				deltas.put(account, delta);
			}
			limits.put(account.wallet().workspace(), account.nextLimit(delta));
		}
		Duration maxAge = limits.isEmpty() ? MAX_IDLE_WRITE_AGE : MAX_WRITE_AGE;
		boolean writeDue = !this.rowWritten || this.control.nanoTime() - this.lastWriteAtNanos >= maxAge.toNanos();
		if (deltas.isEmpty() && limits.equals(this.appliedLimits) && !writeDue) {
			return null;
		}
		LedgerWrite write = new LedgerWrite(this.routerKey, this.routerVersion, routerRow(limits),
				this.control.nanoTime());
		deltas.forEach((account, delta) -> write.add(account, account.rowAfter(delta), delta));
		this.previousWriteAtNanos = this.lastWriteAtNanos;
		this.lastWriteAtNanos = write.sentAtNanos();
		limits.forEach((workspace, limit) -> wallet(workspace).announceLimit(limit.limitTokens()));
		return write;
	}

	private boolean isBorrowing(GrantAccount account) {
		boolean covered = account.row() != null
				&& account.unspentByAllTokens() >= account.wallet().smallestWaitingTokens();
		return covered && !this.returningTokens
				&& this.exchange.borrowFrom(account.wallet().workspace(), account.holders());
	}

	private RouterRow routerRow(Map<String, RouterRow.Limit> limits) {
		return new RouterRow(this.identity.incarnation(), this.identity.peerAddress(), ++this.writeNumber,
				this.storeClock.earliestMs(), limits);
	}

	private void onOutcome(LedgerWrite write, @Nullable WriteOutcome outcome) {
		this.roundInProgress = false;
		if (outcome instanceof WriteOutcome.Applied applied) {
			this.pending = null;
			this.predecessor = null;
			this.routerVersion = applied.versions().getOrDefault(this.routerKey, -1L);
			write.changes()
				.forEach((change) -> change.account()
					.onWritten(change.row(), applied.versions().getOrDefault(change.account().key(), 0L)));
			onApplied(write);
		}
		else if (outcome instanceof WriteOutcome.Conflict conflict) {
			onConflictRows(conflict.rows());
			this.control.execute(this::startRound);
		}
		else if (outcome instanceof WriteOutcome.NotApplied notApplied) {
			this.readNeeded = true;
			if (!write.isMaybeApplied()) {
				this.pending = null;
				this.lastWriteAtNanos = this.previousWriteAtNanos;
				undo(write);
			}
			onStoreFailure("grants.unwritten", PlatformException.reason(notApplied.cause()));
		}
		else {
			this.readNeeded = true;
			write.markMaybeApplied();
			onStoreFailure("grants.unknown", "no response to the write");
		}
	}

	private void onApplied(LedgerWrite write) {
		this.rowWritten = true;
		this.appliedLimits = write.routerRow().limits();
		boolean recent = this.control.nanoTime() - write.sentAtNanos() <= LIMIT_TIMEOUT.toNanos();
		for (LedgerWrite.Change change : write.changes()) {
			change.account().wallet().deposit(Math.max(0, change.delta()));
			if (change.delta() == 0) {
				continue;
			}
			this.log.event("grant.changed")
				.with("workspace", change.account().wallet().workspace())
				.with("tokens", change.delta())
				.with("given_to_all", change.row().givenTokens())
				.with("allowance", change.row().allowanceTokens())
				.with("config_version", change.row().configVersion())
				.emit();
		}
		if (recent) {
			this.appliedLimits.forEach((workspace, limit) -> wallet(workspace).confirmLimit(limit.limitTokens()));
		}
		if (this.accounts.values().stream().anyMatch((account) -> account.wallet().waitingTokens() > 0)) {
			wake();
		}
	}

	// Puts the tokens that the write would have returned back into their wallets.
	private static void undo(LedgerWrite write) {
		write.changes().forEach((change) -> change.account().wallet().deposit(Math.max(0, -change.delta())));
	}

	private void onStoreFailure(String event, String reason) {
		this.roundInProgress = false;
		this.storeUnreachable = true;
		this.log.event(event).with("reason", reason).emit();
		serveWithoutStore();
	}

	private boolean isStoreUnresponsive() {
		return this.storeUnreachable || (this.roundInProgress
				&& this.control.nanoTime() - this.roundStartedAtNanos > UNRESPONSIVE_AFTER.toNanos());
	}

	private void serveWithoutStore() {
		if (this.returningTokens) {
			this.wallets.values().forEach((wallet) -> wallet.refuseWaiting(Wallet.UNKNOWN_UNSPENT_TOKENS));
			this.exchange.transferAll();
		}
		else {
			this.exchange.borrowForWaiting();
		}
	}

	private void awaitReturned(CompletableFuture<Boolean> done) {
		boolean returned = this.pending == null && !this.exchange.isTransferring()
				&& this.accounts.values().stream().allMatch((account) -> account.wallet().heldTokens() <= 0);
		if (returned) {
			done.complete(true);
			return;
		}
		startRound();
		this.control.schedule(RETURN_POLL_INTERVAL, () -> awaitReturned(done));
	}

	/**
	 * The pool according to the rows that were last read or written.
	 */
	private final class StorePool implements TokenExchange.Pool {

		@Override
		public long availableForLoan(String workspace, LoanRequest request, long alreadyLentTokens) {
			GrantAccount account = PrepaidLedger.this.accounts.get(workspace);
			boolean enough = alreadyLentTokens > 0 && alreadyLentTokens >= request.waitingTokens();
			RoutingTable table = PrepaidLedger.this.config;
			Workspace configured = (table != null) ? table.workspace(workspace) : null;
			boolean prepaid = configured != null && configured.isPrepaid();
			if (!prepaid || enough || isStoreUnresponsive()) {
				return 0;
			}
			long missing = Math.max(0, request.waitingTokens() - alreadyLentTokens);
			if (account == null || account.row() == null) {
				// The next round reads the row and refuses the loan if it is not covered.
				return missing;
			}
			// Held tokens above the limit can be lent as well, after the next write.
			long available = account.poolTokens() + Math.max(0, account.wallet().heldTokens()) / 2;
			long maxTokens = Math.max(missing, (long) (available * MAX_LOAN_FRACTION));
			return (missing <= available) ? Math.min(request.wantedTokens() - alreadyLentTokens, maxTokens) : 0;
		}

		@Override
		public void withdrawForWaiting() {
			wake();
		}

	}

	/**
	 * The identity of a router.
	 *
	 * @param address the address for callers as {@code ip:port}, used by at most one
	 * process at a time
	 * @param peerAddress the address for calls of other routers, empty without one
	 * @param incarnation the incarnation of the process
	 * @param startedAtNanos the latest time at which the process can have started, by the
	 * monotonic clock in nanoseconds
	 */
	public record Identity(String address, String peerAddress, String incarnation, long startedAtNanos) {
	}

}
