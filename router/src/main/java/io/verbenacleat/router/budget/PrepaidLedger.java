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
 * keeps to that until it was out of contact for {@link #UNLOCK_AFTER}. A process that
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
	static final Duration UNLOCK_AFTER = Duration.ofMillis(2_400);

	private static final Duration INTERVAL = Duration.ofMillis(250);

	/** The row of a router is written this often at least while it holds tokens. */
	private static final Duration MAX_WRITE_AGE = Duration.ofMillis(1_000);

	private static final Duration GIVE_BACK_POLL = Duration.ofMillis(20);

	/**
	 * Other routers are asked when a call takes longer than this; the store answers in 4
	 * ms, on slow days in 240 ms.
	 */
	private static final Duration SILENT_AFTER = Duration.ofMillis(300);

	/** A request is refused by rows that were read within this time. */
	private static final Duration MAX_ROW_AGE = Duration.ofMillis(500);

	/**
	 * Beyond what waiting requests need, one loan takes at most this part of the pool;
	 * several routers may be cut off and ask at the same time.
	 */
	private static final double MAX_LENT_PART = 0.1;

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

	private Map<String, RouterRow.Limit> statedLimits = Map.of();

	private long routerVersion = -1;

	private long writes;

	private boolean busy;

	private boolean soon;

	private boolean readNeeded = true;

	private boolean givingBack;

	private long updatedAtNanos;

	private long callStartedAtNanos;

	private long readAtNanos;

	private long statedAtNanos;

	private long statedBeforeNanos;

	private boolean storeLost;

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
		this.updatedAtNanos = control.nanoTime();
		this.statedAtNanos = this.updatedAtNanos;
		this.timer = control.scheduleWithFixedDelay(INTERVAL, this::tick);
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
			if (isStoreSilent()) {
				serveWithoutStore();
			}
			else if (!this.soon) {
				this.soon = true;
				this.control.execute(this::round);
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
			this.givingBack = true;
			round();
		});
	}

	/**
	 * Gives the last unspent tokens back, after {@link #startReturningTokens}.
	 * @return completes with {@code true} when the store knows that none are held
	 */
	public CompletableFuture<Boolean> returnAllTokens() {
		CompletableFuture<Boolean> done = new CompletableFuture<>();
		this.control.execute(() -> {
			this.givingBack = true;
			awaitGivenBack(done);
		});
		return done;
	}

	@Override
	public void close() {
		this.timer.cancel();
	}

	private void tick() {
		long nowNanos = this.control.nanoTime();
		double elapsedS = (nowNanos - this.updatedAtNanos) / NANOS_PER_SECOND;
		this.updatedAtNanos = nowNanos;
		this.wallets.values().forEach((wallet) -> wallet.updateDemand(elapsedS));
		if (nowNanos - this.statedAtNanos > UNLOCK_AFTER.toNanos()) {
			this.wallets.values().forEach(Wallet::unlock);
		}
		if (isStoreSilent()) {
			serveWithoutStore();
		}
		round();
	}

	// One round of reads and writes at a time.
	private void round() {
		this.soon = false;
		RoutingTable table = this.config;
		if (this.busy || table == null) {
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
		this.busy = true;
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
		boolean old = this.control.nanoTime() - this.readAtNanos > MAX_ROW_AGE.toNanos();
		for (GrantAccount account : this.accounts.values()) {
			boolean refusing = account.wallet().waitingTokens() > 0 && account.planDelta(this.control.nanoTime()) == 0;
			if (account.row() == null
					|| (old && refusing && account.wallet().held() < account.wallet().waitingTokens())) {
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
				failed("grants.unread", PlatformException.reason(failure));
				return;
			}
			try {
				onRows(rows);
				this.readAtNanos = this.control.nanoTime();
			}
			catch (JsonFormatException ex) {
				failed("grants.unreadable", String.valueOf(ex.getMessage()));
				return;
			}
			write();
		}, this.control);
	}

	// The rows of a conflict save a read, in which others would write again.
	private void takeRows(List<Row> rows) {
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
		this.storeLost = false;
		boolean mine = ownRow != null && ownRow.incarnation().equals(this.identity.incarnation());
		LedgerWrite unknown = this.pending;
		if (unknown != null && mine && ownRow != null && ownRow.number() >= unknown.routerRow().number()) {
			this.pending = null;
			applied(unknown);
		}
		else if (unknown != null && !unknown.isPossible(rows)) {
			this.pending = null;
			undo(unknown);
		}
		this.predecessor = (ownRow != null && !mine) ? ownRow : null;
		this.routerVersion = own.version();
		read.forEach((account, row) -> account.read(row, byKey.getOrDefault(account.key(), Row.absent(account.key()))));
	}

	private void write() {
		LedgerWrite write = this.pending;
		if (write == null) {
			RouterRow old = this.predecessor;
			write = (old != null) ? takeOver(old) : nextWrite();
		}
		if (write == null) {
			this.busy = false;
			return;
		}
		LedgerWrite sent = write;
		this.pending = sent;
		this.store.transact(sent.transaction())
			.whenCompleteAsync((outcome, failure) -> finish(sent, outcome), this.control);
	}

	// Frees what the process before, at the same address, cannot have spent.
	private @Nullable LedgerWrite takeOver(RouterRow old) {
		long latestMs = this.storeClock.latestMs();
		long upMs = Duration.ofNanos(this.control.nanoTime() - this.startedAtNanos).toMillis();
		boolean inTime = old.atMs() >= 0 && latestMs >= 0 && (latestMs - upMs) - old.atMs() <= UNLOCK_AFTER.toMillis();
		for (String workspace : old.limits().keySet()) {
			if (!this.accounts.containsKey(workspace)) {
				wallet(workspace);
				this.readNeeded = true;
				this.accounts.put(workspace, new GrantAccount(wallet(workspace), this.identity.address()));
			}
		}
		if (this.readNeeded) {
			this.control.execute(this::round);
			return null;
		}
		LedgerWrite write = new LedgerWrite(this.routerKey, this.routerVersion, routerRow(Map.of()),
				this.control.nanoTime());
		old.limits().forEach((workspace, limit) -> {
			GrantAccount account = this.accounts.get(workspace);
			GrantRow row = (account != null) ? account.row() : null;
			if (account != null && row != null) {
				long freed = inTime ? limit.givenTokens() - Math.min(limit.givenTokens(), limit.limitTokens()) : 0;
				write.add(account, row.without(this.identity.address(), freed), 0);
				this.log.event("grant.takeover")
					.with("workspace", workspace)
					.with("tokens", freed)
					.with("lost_at_most", limit.givenTokens() - freed)
					.with("predecessor", old.incarnation())
					.with("in_time", inTime)
					.with("stated_at_ms", old.atMs())
					.with("lost_before_ms", latestMs - upMs)
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
			boolean returning = this.givingBack && account.wallet().waitingTokens() == 0;
			long delta = returning ? -Math.max(0, account.wallet().held()) : account.planDelta(this.control.nanoTime());
			boolean lacking = delta == 0 && account.wallet().waitingTokens() > account.wallet().held();
			if (lacking && !isBorrowing(account)) {
				account.wallet().refuseWaiting((account.row() != null) ? account.unspentByAll() : Wallet.UNKNOWN);
				// Remainders at several routers serve a request only when they are put
				// together.
				delta = -Math.max(0, account.wallet().held());
				account.rest(this.control.nanoTime());
			}
			if (delta < 0) {
				delta = -account.wallet().withdraw(-delta);
			}
			if (delta != 0 || account.isRestateDue()) {
				deltas.put(account, delta);
			}
			limits.put(account.wallet().workspace(), account.nextLimit(delta));
		}
		boolean old = this.control.nanoTime() - this.statedAtNanos >= MAX_WRITE_AGE.toNanos();
		if (deltas.isEmpty() && (limits.isEmpty() || (limits.equals(this.statedLimits) && !old))) {
			return null;
		}
		LedgerWrite write = new LedgerWrite(this.routerKey, this.routerVersion, routerRow(limits),
				this.control.nanoTime());
		deltas.forEach((account, delta) -> write.add(account, account.rowAfter(delta), delta));
		this.statedBeforeNanos = this.statedAtNanos;
		this.statedAtNanos = write.sentAtNanos();
		limits.forEach((workspace, limit) -> wallet(workspace).announceLimit(limit.limitTokens()));
		return write;
	}

	private boolean isBorrowing(GrantAccount account) {
		boolean covered = account.row() != null && account.unspentByAll() >= account.wallet().smallestWaiting();
		return covered && !this.givingBack && this.exchange.borrow(account.wallet().workspace(), account.holders());
	}

	private RouterRow routerRow(Map<String, RouterRow.Limit> limits) {
		return new RouterRow(this.identity.incarnation(), this.identity.peerAddress(), ++this.writes,
				this.storeClock.earliestMs(), limits);
	}

	private void finish(LedgerWrite write, @Nullable WriteOutcome outcome) {
		this.busy = false;
		if (outcome instanceof WriteOutcome.Applied applied) {
			this.pending = null;
			this.predecessor = null;
			this.routerVersion = applied.versions().getOrDefault(this.routerKey, -1L);
			write.changes()
				.forEach((change) -> change.account()
					.written(change.row(), applied.versions().getOrDefault(change.account().key(), 0L)));
			applied(write);
		}
		else if (outcome instanceof WriteOutcome.Conflict conflict) {
			takeRows(conflict.rows());
			this.control.execute(this::round);
		}
		else if (outcome instanceof WriteOutcome.NotApplied notApplied) {
			this.readNeeded = true;
			if (!write.isMaybeApplied()) {
				this.pending = null;
				this.statedAtNanos = this.statedBeforeNanos;
				undo(write);
			}
			failed("grants.unwritten", PlatformException.reason(notApplied.cause()));
		}
		else {
			this.readNeeded = true;
			write.markMaybeApplied();
			failed("grants.unknown", "no answer to the write");
		}
	}

	private void applied(LedgerWrite write) {
		this.statedLimits = write.routerRow().limits();
		boolean recent = this.control.nanoTime() - write.sentAtNanos() <= UNLOCK_AFTER.toNanos();
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
			this.statedLimits.forEach((workspace, limit) -> wallet(workspace).confirmLimit(limit.limitTokens()));
		}
		if (this.accounts.values().stream().anyMatch((account) -> account.wallet().waitingTokens() > 0)) {
			wake();
		}
	}

	// Tokens that were to be given back go back into their wallets.
	private static void undo(LedgerWrite write) {
		write.changes().forEach((change) -> change.account().wallet().deposit(Math.max(0, -change.delta())));
	}

	private void failed(String event, String reason) {
		this.busy = false;
		this.storeLost = true;
		this.log.event(event).with("reason", reason).emit();
		serveWithoutStore();
	}

	private boolean isStoreSilent() {
		return this.storeLost
				|| (this.busy && this.control.nanoTime() - this.callStartedAtNanos > SILENT_AFTER.toNanos());
	}

	private void serveWithoutStore() {
		if (this.givingBack) {
			this.wallets.values().forEach((wallet) -> wallet.refuseWaiting(Wallet.UNKNOWN));
			this.exchange.giveAll();
		}
		else {
			this.exchange.serveWaiting();
		}
	}

	private void awaitGivenBack(CompletableFuture<Boolean> done) {
		boolean given = this.pending == null && !this.exchange.isGiving()
				&& this.accounts.values().stream().allMatch((account) -> account.wallet().held() <= 0);
		if (given) {
			done.complete(true);
			return;
		}
		round();
		this.control.schedule(GIVE_BACK_POLL, () -> awaitGivenBack(done));
	}

	/**
	 * The tokens that no router holds, as of the rows that were read or written last.
	 */
	private final class StorePool implements TokenExchange.Pool {

		@Override
		public long takeable(String workspace, TokenWish wish, long spared) {
			GrantAccount account = PrepaidLedger.this.accounts.get(workspace);
			boolean enough = spared > 0 && spared >= wish.waitingTokens();
			RoutingTable table = PrepaidLedger.this.config;
			Workspace payer = (table != null) ? table.workspace(workspace) : null;
			boolean known = payer != null && payer.isPrepaid();
			if (!known || enough || isStoreSilent()) {
				return 0;
			}
			long missing = Math.max(0, wish.waitingTokens() - spared);
			if (account == null || account.row() == null) {
				// The next round reads the row and refuses what it does not cover.
				return missing;
			}
			// Held tokens above the stated limit are lent after the next write, too.
			long available = account.pool() + Math.max(0, account.wallet().held()) / 2;
			long most = Math.max(missing, (long) (available * MAX_LENT_PART));
			return (missing <= available) ? Math.min(wish.wantedTokens() - spared, most) : 0;
		}

		@Override
		public void take() {
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
