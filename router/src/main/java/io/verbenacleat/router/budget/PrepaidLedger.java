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
 * Keeps workspaces within their prepaid tokens. A router spends only tokens that it took
 * out of the shared row of the workspace before, so that the allowance holds whoever is
 * cut off or lost. Wallets may be used on any thread; everything else runs on the control
 * thread.
 * <p>
 * The router also states in a row of its own how much it may have spent at most, and
 * keeps to that until it was out of contact for {@link #LIMIT_TIMEOUT}. A process that
 * starts at the same address within that time frees what its predecessor cannot have
 * spent.
 * <p>
 * All rows are written in one transaction. One without a known outcome is repeated as it
 * is until the rows tell what became of it.
 */
public final class PrepaidLedger implements AutoCloseable {

	/** The keys of the shared rows begin with this. */
	static final String GRANT_PREFIX = "ledger/grant/";

	/** The keys of the rows of routers begin with this. */
	public static final String ROUTER_PREFIX = "ledger/router/";

	/**
	 * A router that was out of contact for this time spends beyond its stated limit.
	 * Processes that are killed are back within it.
	 */
	static final Duration LIMIT_TIMEOUT = Duration.ofMillis(2_400);

	private static final Duration ROUND_INTERVAL = Duration.ofMillis(250);

	/** The row of a router is written this often at least while it holds tokens. */
	private static final Duration MAX_WRITE_AGE = Duration.ofMillis(1_000);

	private static final Duration RETURN_POLL_INTERVAL = Duration.ofMillis(20);

	/**
	 * Other routers are asked when a call takes longer than this; the store answers in 4
	 * ms, on slow days in 240 ms.
	 */
	private static final Duration UNRESPONSIVE_AFTER = Duration.ofMillis(300);

	/** A request is refused by rows that were read within this time. */
	private static final Duration MAX_ROW_AGE = Duration.ofMillis(500);

	/**
	 * Beyond what waiting requests need, one loan takes at most this part of the pool;
	 * several routers may be cut off and ask at the same time.
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

	private boolean roundInProgress;

	private boolean roundScheduled;

	private boolean readNeeded = true;

	private boolean returningTokens;

	private long demandUpdatedAtNanos;

	private long callStartedAtNanos;

	private long readAtNanos;

	private long lastWriteAtNanos;

	private long previousWriteAtNanos;

	private boolean storeUnreachable;

	/**
	 * Creates a ledger and starts its timer.
	 * @param identity this router
	 * @param store the table service
	 * @param storeClock the clock of the table service
	 * @param peers the other routers
	 * @param control the control thread
	 * @param log gets a line for each change of a grant
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
	 * @return the wallet, created at its first use
	 */
	public Wallet wallet(String workspace) {
		return this.wallets.computeIfAbsent(workspace, Wallet::new);
	}

	/**
	 * Returns what passes tokens between routers.
	 * @return the exchange, used on the control thread
	 */
	public TokenExchange exchange() {
		return this.exchange;
	}

	/**
	 * Has waiting requests served as soon as possible.
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
	 * Takes a new configuration.
	 * @param table the configuration
	 */
	public void configure(RoutingTable table) {
		this.config = table;
		wake();
	}

	/**
	 * Gives unspent tokens back as they become free; nothing is taken any more.
	 */
	public void startReturningTokens() {
		this.control.execute(() -> {
			this.returningTokens = true;
			startRound();
		});
	}

	/**
	 * Gives the last unspent tokens back, after {@link #startReturningTokens}.
	 * @return completes with {@code true} when the store knows that none are held
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

	// One round of reads and writes at a time.
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
		this.callStartedAtNanos = this.control.nanoTime();
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

	// The rows of a conflict save a read, in which others would write again.
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
		if (unresolved != null && writtenByThisRun && ownRow != null && ownRow.number() >= unresolved.routerRow().number()) {
			this.pending = null;
			onApplied(unresolved);
		}
		else if (unresolved != null && !unresolved.canStillApply(rows)) {
			this.pending = null;
			undo(unresolved);
		}
		this.predecessor = (ownRow != null && !writtenByThisRun) ? ownRow : null;
		this.routerVersion = own.version();
		read.forEach((account, row) -> account.onRead(row, byKey.getOrDefault(account.key(), Row.absent(account.key()))));
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

	// Frees what the process before, at the same address, cannot have spent.
	private @Nullable LedgerWrite takeOver(RouterRow predecessorRow) {
		long latestMs = this.storeClock.latestMs();
		long uptimeMs = Duration.ofNanos(this.control.nanoTime() - this.startedAtNanos).toMillis();
		boolean inTime = predecessorRow.atMs() >= 0 && latestMs >= 0 && (latestMs - uptimeMs) - predecessorRow.atMs() <= LIMIT_TIMEOUT.toMillis();
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
				long freed = inTime ? limit.givenTokens() - Math.min(limit.givenTokens(), limit.limitTokens()) : 0;
				write.add(account, row.withoutRouter(this.identity.address(), freed), 0);
				this.log.event("grant.takeover")
					.with("workspace", workspace)
					.with("tokens", freed)
					.with("lost_at_most", limit.givenTokens() - freed)
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
			// While stopping, only loans to other routers wait.
			boolean returning = this.returningTokens && account.wallet().waitingTokens() == 0;
			long delta = returning ? -Math.max(0, account.wallet().heldTokens()) : account.planDelta(this.control.nanoTime());
			boolean lacking = delta == 0 && account.wallet().waitingTokens() > account.wallet().heldTokens();
			if (lacking && !isBorrowing(account)) {
				account.wallet().refuseWaiting((account.row() != null) ? account.unspentByAllTokens() : Wallet.UNKNOWN_UNSPENT_TOKENS);
				// Remainders at several routers serve a request only when they are put
				// together.
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
		boolean writeDue = this.control.nanoTime() - this.lastWriteAtNanos >= MAX_WRITE_AGE.toNanos();
		if (deltas.isEmpty() && (limits.isEmpty() || (limits.equals(this.appliedLimits) && !writeDue))) {
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
		boolean covered = account.row() != null && account.unspentByAllTokens() >= account.wallet().smallestWaitingTokens();
		return covered && !this.returningTokens && this.exchange.borrowFrom(account.wallet().workspace(), account.holders());
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
			onStoreFailure("grants.unknown", "no answer to the write");
		}
	}

	private void onApplied(LedgerWrite write) {
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

	// Tokens that were to be given back go back into their wallets.
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
		return this.storeUnreachable
				|| (this.roundInProgress && this.control.nanoTime() - this.callStartedAtNanos > UNRESPONSIVE_AFTER.toNanos());
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
	 * The tokens that no router holds, as of the rows that were read or written last.
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
				// The next round reads the row and refuses what it does not cover.
				return missing;
			}
			// Held tokens above the stated limit are lent after the next write, too.
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
	 * Who a router is.
	 *
	 * @param address where it listens for callers, as {@code ip:port}; at most one
	 * process has it at a time
	 * @param peerAddress where it listens for other routers, empty when it does not
	 * @param incarnation this run
	 * @param startedAtNanos when the process had started at the latest, by the steady
	 * clock
	 */
	public record Identity(String address, String peerAddress, String incarnation, long startedAtNanos) {
	}

}
