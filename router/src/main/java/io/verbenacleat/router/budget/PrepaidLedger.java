package io.verbenacleat.router.budget;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.PlatformException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.TransactionLimits;
import io.verbenacleat.core.platform.TransactionRoom;
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
 * A transaction changes the row of the router and as many shared rows as the store
 * accepts. One without a known outcome is retried unchanged until a read shows whether it
 * was applied.
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

	/**
	 * Time for which a router writes smaller transactions after the store has rejected
	 * one. A rejection for another reason does not slow it down for good.
	 */
	private static final Duration SMALLER_WRITES_TIME = Duration.ofSeconds(60);

	private static final int MAX_WORKSPACES = 1_000;

	private static final double NANOS_PER_SECOND = 1e9;

	private final Identity identity;

	private final String routerKey;

	private final TableStore store;

	/** The limits of the store, or lower ones after a rejection within them. */
	private TransactionLimits writeLimits;

	private long rejectedAtNanos;

	private final StoreClock storeClock;

	private final StoreEra storeEra;

	private final LedgerRecovery recovery;

	private final TokenPeers peers;

	private final ControlThread control;

	private final DecisionLog log;

	private final long startedAtNanos;

	private final Map<String, Wallet> wallets = new ConcurrentHashMap<>();

	private final Map<String, GrantAccount> accounts = new HashMap<>();

	private final PrimaryRouters primaries;

	private final TokenMetrics metrics;

	private final TokenExchange exchange;

	private final Cancellable timer;

	private @Nullable RoutingTable config;

	private @Nullable LedgerWrite pending;

	private @Nullable RouterRow predecessor;

	private Map<String, RouterRow.Limit> appliedLimits = Map.of();

	private long routerVersion = -1;

	private long writeNumber;

	private boolean rowWritten;

	/** Whether planned changes were left out of the last write. */
	private boolean changesLeft;

	/** Whether this run has written its row in any era. */
	private boolean everWritten;

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
	 * @param storeEra the era of the table service
	 * @param peers the other routers
	 * @param control the control thread
	 * @param log receives a line for each change of a grant and each failure of the store
	 * @param registry receives the metrics
	 */
	public PrepaidLedger(Identity identity, TableStore store, StoreClock storeClock, StoreEra storeEra,
			TokenPeers peers, ControlThread control, DecisionLog log, PrometheusRegistry registry) {
		this.identity = identity;
		this.routerKey = ROUTER_PREFIX + identity.address();
		this.store = store;
		this.writeLimits = store.limits();
		this.storeClock = storeClock;
		this.storeEra = storeEra;
		this.recovery = new LedgerRecovery(identity.firstStart());
		this.peers = peers;
		this.control = control;
		this.log = log;
		this.metrics = new TokenMetrics(registry);
		this.primaries = new PrimaryRouters(identity.address());
		this.exchange = new TokenExchange(this.wallets, new StorePool(), peers, this.primaries, this.metrics, control,
				log);
		this.startedAtNanos = identity.startedAtNanos();
		this.demandUpdatedAtNanos = control.nanoTime();
		this.lastWriteAtNanos = this.demandUpdatedAtNanos;
		this.rejectedAtNanos = this.demandUpdatedAtNanos;
		this.timer = control.scheduleWithFixedDelay(ROUND_INTERVAL, this::tick);
	}

	/**
	 * Creates a ledger without metrics and starts its timer.
	 * @param identity the identity of this router
	 * @param store the table service
	 * @param storeClock the clock of the table service
	 * @param storeEra the era of the table service
	 * @param peers the other routers
	 * @param control the control thread
	 * @param log receives a line for each change of a grant and each failure of the store
	 */
	public PrepaidLedger(Identity identity, TableStore store, StoreClock storeClock, StoreEra storeEra,
			TokenPeers peers, ControlThread control, DecisionLog log) {
		this(identity, store, storeClock, storeEra, peers, control, log, new PrometheusRegistry());
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
	 * Remembers rows that another router has written, in case the store and that router
	 * lose them. Must be called on the control thread.
	 * @param rows the shared rows by workspace
	 */
	public void remember(Map<String, GrantRow> rows) {
		rows.forEach(this.recovery::remember);
	}

	/**
	 * Starts a round for waiting requests as soon as possible.
	 */
	public void wake() {
		this.control.execute(() -> {
			refill();
			if (isPoolUnavailable()) {
				serveWithoutStore();
			}
			if (!isStoreUnresponsive() && !this.roundScheduled) {
				this.roundScheduled = true;
				this.control.execute(this::startRound);
			}
		});
	}

	/**
	 * Replaces the known routers of the fleet. Must be called on the control thread.
	 * @param routers the routers that have a row in the store
	 */
	public void updateRouters(Collection<FleetRouter> routers) {
		this.primaries.update(routers);
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
		refill();
		if (isPoolUnavailable()) {
			serveWithoutStore();
		}
		startRound();
	}

	private void refill() {
		if (!this.returningTokens) {
			this.exchange.refill();
		}
	}

	private boolean isPrimary(GrantAccount account) {
		return !this.returningTokens && this.primaries.isPrimary(account.wallet().workspace());
	}

	private boolean hasLender(GrantAccount account) {
		return !this.returningTokens && this.exchange.hasLender(account.wallet().workspace());
	}

	// A round is a read, if one is needed, and a write; only one is in flight.
	private void startRound() {
		this.roundScheduled = false;
		RoutingTable table = this.config;
		if (this.roundInProgress || table == null) {
			return;
		}
		for (Workspace workspace : table.workspaces()) {
			if (!this.returningTokens && workspace.isPrepaid() && this.primaries.isPrimary(workspace.name())) {
				// Tokens are ready when the first router asks for them.
				wallet(workspace.name());
			}
			Wallet wallet = this.wallets.get(workspace.name());
			if (wallet != null && workspace.isPrepaid()) {
				this.accounts
					.computeIfAbsent(workspace.name(), (name) -> new GrantAccount(wallet, this.identity.address()))
					.configure(workspace.prepaidTokens(), table.version());
			}
		}
		updateAccounts(table);
		this.roundInProgress = true;
		this.roundStartedAtNanos = this.control.nanoTime();
		checkEra();
		if (this.recovery.isSettled() && !this.recovery.isComplete()) {
			readAllGrants();
		}
		else if (needsRead()) {
			read();
		}
		else {
			write();
		}
	}

	// Accounts of workspaces that have left the configuration would let the router row
	// grow without end.
	private void updateAccounts(RoutingTable table) {
		if (this.pending == null && this.predecessor == null) {
			this.accounts.values().removeIf((account) -> !isPrepaid(account, table) && account.isUnused());
		}
		this.wallets.forEach((workspace, wallet) -> {
			if (!this.accounts.containsKey(workspace) && wallet.waitingTokens() > 0) {
				this.accounts.put(workspace, new GrantAccount(wallet, this.identity.address()));
			}
		});
	}

	private static boolean isPrepaid(GrantAccount account, @Nullable RoutingTable table) {
		Workspace configured = (table != null) ? table.workspace(account.wallet().workspace()) : null;
		return configured != null && configured.isPrepaid();
	}

	// Whatever was read or written in the lost time is no longer in the store.
	private void checkEra() {
		long current = this.storeEra.current();
		long before = this.recovery.era();
		if (current == before) {
			return;
		}
		this.recovery.begin(current, this.control.nanoTime());
		this.accounts.values().forEach(GrantAccount::forget);
		this.routerVersion = -1;
		this.predecessor = null;
		this.rowWritten = false;
		this.appliedLimits = Map.of();
		this.readNeeded = true;
		LedgerWrite unresolved = this.pending;
		this.pending = null;
		if (before != StoreEra.UNKNOWN) {
			this.log.event("ledger.restored")
				.with("era_before", before)
				.with("era", current)
				.with("workspaces", this.recovery.workspaces().size())
				.with("remembers_all", this.recovery.isComplete())
				.with("row_age_ms", Duration.ofNanos(this.control.nanoTime() - this.readAtNanos).toMillis())
				.with("abandoned_tokens", (unresolved != null) ? unresolved.tokens() : 0)
				.emit();
		}
	}

	// The rows of workspaces that this router does not use, in case the store loses them.
	private void readAllGrants() {
		long sentEra = this.storeEra.current();
		this.store.scan(GRANT_PREFIX, "", MAX_WORKSPACES).whenCompleteAsync((rows, failure) -> {
			if (failure != null) {
				onStoreFailure("grants.unread", PlatformException.reason(failure));
				return;
			}
			this.roundInProgress = false;
			if (this.storeEra.current() == sentEra) {
				for (Row row : rows) {
					rememberRow(row);
				}
				this.recovery.markComplete();
			}
			startRound();
		}, this.control);
	}

	private void rememberRow(Row row) {
		try {
			this.recovery.remember(row.key().substring(GRANT_PREFIX.length()), Json.read(row.json(), GrantRow.class));
		}
		catch (JsonFormatException ex) {
			this.log.event("grants.unreadable").with("reason", String.valueOf(ex.getMessage())).emit();
		}
	}

	private boolean needsRead() {
		if (this.readNeeded || this.routerVersion < 0 || !this.recovery.isSettled()) {
			return true;
		}
		boolean stale = this.control.nanoTime() - this.readAtNanos > MAX_ROW_AGE.toNanos();
		for (GrantAccount account : this.accounts.values()) {
			boolean refusing = account.wallet().waitingTokens() > 0 && !hasLender(account)
					&& account.planDelta(this.control.nanoTime(), isPrimary(account)) == 0;
			if (account.row() == null
					|| (stale && refusing && account.wallet().heldTokens() < account.wallet().waitingTokens())) {
				return true;
			}
		}
		return false;
	}

	private void read() {
		Set<String> keys = new LinkedHashSet<>();
		keys.add(LedgerRecovery.KEY);
		keys.add(this.routerKey);
		this.accounts.values().forEach((account) -> keys.add(account.key()));
		if (!this.recovery.isSettled()) {
			this.recovery.workspaces().forEach((workspace) -> keys.add(GRANT_PREFIX + workspace));
			prepaidWorkspaces().forEach((workspace) -> keys.add(GRANT_PREFIX + workspace.name()));
		}
		long sentEra = this.storeEra.current();
		this.store.read(List.copyOf(keys)).whenCompleteAsync((rows, failure) -> {
			if (failure != null) {
				onStoreFailure("grants.unread", PlatformException.reason(failure));
				return;
			}
			if (this.storeEra.current() != sentEra) {
				restartRound();
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

	private void restartRound() {
		this.roundInProgress = false;
		this.control.execute(this::startRound);
	}

	private List<Workspace> prepaidWorkspaces() {
		RoutingTable table = this.config;
		return (table != null) ? table.workspaces().stream().filter(Workspace::isPrepaid).toList() : List.of();
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
		Map<String, GrantRow> read = new HashMap<>();
		for (Row row : rows) {
			if (row.key().startsWith(GRANT_PREFIX)) {
				read.put(row.key(), row.exists() ? Json.read(row.json(), GrantRow.class) : GrantRow.empty());
			}
		}
		Row history = byKey.get(LedgerRecovery.KEY);
		if (history != null) {
			this.recovery.onHistoryRow(history);
		}
		this.readNeeded = false;
		this.storeUnreachable = false;
		boolean writtenByThisRun = ownRow != null && ownRow.incarnation().equals(this.identity.incarnation());
		LedgerWrite unresolved = this.pending;
		if (unresolved != null && writtenByThisRun && ownRow != null
				&& ownRow.number() >= unresolved.routerRow().number()) {
			this.pending = null;
			announce(unresolved);
			onApplied(unresolved);
		}
		else if (unresolved != null && !unresolved.canStillApply(rows)) {
			this.pending = null;
			undo(unresolved);
		}
		// A copy from before the start of this run contains the row of its predecessor
		// again.
		this.predecessor = (ownRow != null && !writtenByThisRun && !this.everWritten) ? ownRow : null;
		this.routerVersion = own.version();
		this.accounts.values().forEach((account) -> {
			Row row = byKey.get(account.key());
			GrantRow grant = read.get(account.key());
			if (row != null && grant != null) {
				account.onRead(grant, row);
			}
		});
		planRepairs(read, byKey);
	}

	private void planRepairs(Map<String, GrantRow> read, Map<String, Row> rows) {
		this.recovery.clearRepairs();
		boolean memoryLost = this.recovery.isMemoryLost(this.control.nanoTime());
		RoutingTable table = this.config;
		read.forEach((key, grant) -> {
			String workspace = key.substring(GRANT_PREFIX.length());
			long version = rows.getOrDefault(key, Row.absent(key)).version();
			Workspace configured = (table != null) ? table.workspace(workspace) : null;
			if (table != null && memoryLost && configured != null && configured.isPrepaid()) {
				this.recovery.onLostMemory(workspace, grant, version,
						Math.max(configured.prepaidTokens(), grant.allowanceTokens()),
						Math.max(table.version(), grant.configVersion()));
			}
			else {
				this.recovery.onGrantRow(workspace, grant, version);
			}
		});
	}

	private void write() {
		LedgerWrite write = this.pending;
		if (write == null) {
			RouterRow predecessorRow = this.predecessor;
			boolean settled = this.recovery.isSettled();
			write = (predecessorRow != null && settled) ? takeOver(predecessorRow)
					: (predecessorRow == null || this.recovery.isMemoryLost(this.control.nanoTime())) ? nextWrite()
							: null;
		}
		if (write == null) {
			this.roundInProgress = false;
			return;
		}
		LedgerWrite sent = write;
		this.pending = sent;
		long sentEra = this.storeEra.current();
		this.store.transact(sent.transaction()).whenCompleteAsync((outcome, failure) -> {
			if (this.storeEra.current() != sentEra) {
				onOutcomeOfLostEra(sent, outcome);
			}
			else {
				onOutcome(sent, outcome);
			}
		}, this.control);
	}

	// Returns the tokens to the pool that the previous process at this address cannot
	// have spent.
	private @Nullable LedgerWrite takeOver(RouterRow predecessorRow) {
		long latestMs = this.storeClock.latestMs();
		long uptimeMs = Duration.ofNanos(this.control.nanoTime() - this.startedAtNanos).toMillis();
		// In a later era the predecessor may have stated a higher limit that is lost.
		boolean inTime = predecessorRow.era() == this.recovery.era() && predecessorRow.atMs() >= 0 && latestMs >= 0
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
		// The store bounds a transaction, and when all routers restart together, one with
		// the rows of many workspaces hardly ever succeeds.
		List<GrantAccount> inherited = predecessorRow.limits()
			.keySet()
			.stream()
			.flatMap((workspace) -> Optional.ofNullable(this.accounts.get(workspace)).stream())
			.toList();
		Set<GrantAccount> selected = ChangeSelection.select(inherited, false, roomBesideRouterRow());
		Map<String, RouterRow.Limit> remaining = new HashMap<>(predecessorRow.limits());
		selected.forEach((account) -> remaining.remove(account.wallet().workspace()));
		LedgerWrite write = new LedgerWrite(this.routerKey, this.routerVersion,
				remaining.isEmpty() ? routerRow(Map.of()) : predecessorRow.withLimits(remaining), remaining,
				this.control.nanoTime());
		if (!remaining.isEmpty()) {
			write.markPartialTakeover();
		}
		predecessorRow.limits().forEach((workspace, limit) -> {
			if (remaining.containsKey(workspace)) {
				return;
			}
			GrantAccount account = this.accounts.get(workspace);
			GrantRow row = (account != null) ? account.row() : null;
			if (account != null && row != null) {
				long releasedTokens = inTime ? limit.givenTokens() - Math.min(limit.givenTokens(), limit.limitTokens())
						: 0;
				write.add(account, row.withoutRouter(this.identity.address(), releasedTokens, this.recovery.era()), 0);
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

	private TransactionRoom roomBesideRouterRow() {
		if (this.control.nanoTime() - this.rejectedAtNanos > SMALLER_WRITES_TIME.toNanos()) {
			this.writeLimits = this.store.limits();
		}
		TransactionRoom room = new TransactionRoom(this.writeLimits);
		// The row grows with the accounts, up to the limit of a row.
		room.tryPut(this.routerKey, this.writeLimits.maxRowBytes());
		return room;
	}

	private @Nullable LedgerWrite nextWrite() {
		Map<String, RouterRow.Limit> limits = new HashMap<>();
		Map<GrantAccount, Long> deltas = new HashMap<>();
		boolean settled = this.recovery.isSettled();
		long nowNanos = this.control.nanoTime();
		boolean unchanged = !settled || this.recovery.isWriteDue(nowNanos);
		Map<GrantAccount, Long> planned = unchanged ? Map.of() : planDeltas(nowNanos);
		boolean limitsFirst = !this.changesLeft
				&& this.accounts.values().stream().anyMatch(GrantAccount::isWaitingForLimit);
		TransactionRoom room = roomBesideRouterRow();
		Set<GrantAccount> selected = ChangeSelection.select(planned.keySet(), limitsFirst, room);
		for (GrantAccount account : this.accounts.values()) {
			long delta = selected.contains(account) ? planned.getOrDefault(account, 0L) : 0;
			if (delta < 0) {
				delta = -account.wallet().withdraw(-delta);
			}
			if (selected.contains(account) && (delta != 0 || account.isHoldingStale())) {
				deltas.put(account, delta);
			}
			limits.put(account.wallet().workspace(), account.nextLimit(delta, isPrimary(account)));
		}
		this.changesLeft = planned.size() > selected.size();
		Map<String, RouterRow.Limit> stated = RouterRow.fitting(Map.copyOf(limits), this.writeLimits.maxRowBytes());
		limits.replaceAll((workspace, limit) -> stated.containsKey(workspace) ? limit : limit.unstated());
		Duration maxAge = limits.isEmpty() ? MAX_IDLE_WRITE_AGE : MAX_WRITE_AGE;
		boolean writeDue = !this.rowWritten || this.control.nanoTime() - this.lastWriteAtNanos >= maxAge.toNanos();
		if (deltas.isEmpty() && limits.equals(this.appliedLimits) && !writeDue && !this.recovery.isWriteDue(nowNanos)) {
			return null;
		}
		LedgerWrite write = new LedgerWrite(this.routerKey, this.routerVersion, routerRow(stated), limits,
				this.control.nanoTime());
		deltas.forEach((account, delta) -> write.add(account, account.rowAfter(delta, this.recovery.era()), delta));
		List<LedgerRecovery.Repair> repairs = this.recovery.nextRepairs(room);
		logRepairs(repairs);
		this.recovery.addTo(write, repairs, nowNanos);
		this.previousWriteAtNanos = this.lastWriteAtNanos;
		this.lastWriteAtNanos = write.sentAtNanos();
		limits.forEach((workspace, limit) -> wallet(workspace).announceLimit(limit.limitTokens()));
		return write;
	}

	/**
	 * Plans the changes of the shared rows, and refuses the requests that neither the
	 * pool nor other routers cover.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the tokens to take for each row to be written, negative to return tokens
	 */
	private Map<GrantAccount, Long> planDeltas(long nowNanos) {
		Map<GrantAccount, Long> planned = new HashMap<>();
		for (GrantAccount account : this.accounts.values()) {
			// While tokens are being returned, the only waiters are loans to other
			// routers, or requests of before a configuration without their workspace.
			boolean returning = (this.returningTokens || !isPrepaid(account, this.config))
					&& account.wallet().waitingTokens() == 0;
			long delta = returning ? -Math.max(0, account.wallet().heldTokens())
					: account.planDelta(nowNanos, isPrimary(account));
			if (!returning && hasLender(account)) {
				if (delta < 0) {
					planned.put(account, delta);
				}
				continue;
			}
			boolean lacking = delta == 0 && account.wallet().waitingTokens() > account.wallet().heldTokens();
			if (lacking && !isBorrowing(account)) {
				account.wallet()
					.refuseWaiting(
							(account.row() != null) ? account.unspentByAllTokens() : Wallet.UNKNOWN_UNSPENT_TOKENS);
				// Remainders of several routers can serve a request once they are back in
				// the pool.
				delta = -Math.max(0, account.wallet().heldTokens());
				account.pauseRefills(nowNanos);
			}
			if (delta != 0 || account.isHoldingStale()) {
				planned.put(account, delta);
			}
		}
		return planned;
	}

	private boolean isBorrowing(GrantAccount account) {
		boolean covered = account.row() != null
				&& account.unspentByAllTokens() >= account.wallet().smallestWaitingTokens();
		return covered && !this.returningTokens
				&& this.exchange.borrowFrom(account.wallet().workspace(), account.holders());
	}

	private RouterRow routerRow(Map<String, RouterRow.Limit> limits) {
		return new RouterRow(this.identity.incarnation(), this.identity.peerAddress(), ++this.writeNumber,
				this.storeClock.earliestMs(), limits, this.recovery.era(), this.identity.capacityCores());
	}

	private void logRepairs(List<LedgerRecovery.Repair> repairs) {
		for (LedgerRecovery.Repair repair : repairs) {
			this.log.event("grant.repaired")
				.with("workspace", repair.workspace())
				.with("given_to_all_before", repair.stored().givenTokens())
				.with("given_to_all", repair.row().givenTokens())
				.with("doubt_tokens", repair.row().doubtTokens())
				.with("row_era", repair.row().era())
				.with("era", this.recovery.era())
				.emit();
		}
	}

	// Whether the write is part of the rows is found out when they are read. Its tokens
	// are not spent here, whatever the outcome.
	private void onOutcomeOfLostEra(LedgerWrite write, @Nullable WriteOutcome outcome) {
		if (outcome instanceof WriteOutcome.NotApplied && !write.isMaybeApplied() && this.pending == write) {
			this.pending = null;
			undo(write);
		}
		restartRound();
	}

	private void onOutcome(LedgerWrite write, @Nullable WriteOutcome outcome) {
		if (outcome instanceof WriteOutcome.Applied applied) {
			this.pending = null;
			this.predecessor = write.isPartialTakeover() ? write.routerRow() : null;
			this.routerVersion = applied.versions().getOrDefault(this.routerKey, -1L);
			write.changes()
				.forEach((change) -> change.account()
					.onWritten(change.row(), applied.versions().getOrDefault(change.account().key(), 0L)));
			announce(write).whenCompleteAsync((remembered, failure) -> {
				this.roundInProgress = false;
				onApplied(write);
			}, this.control);
			return;
		}
		this.roundInProgress = false;
		if (outcome instanceof WriteOutcome.Conflict conflict) {
			this.metrics.conflict();
			write.changes()
				.stream()
				.filter((change) -> conflict.versions().containsKey(change.account().key()))
				.forEach((change) -> change.account().onConflict());
			onConflictRows(conflict.rows());
			this.control.execute(this::startRound);
		}
		else if (outcome instanceof WriteOutcome.NotApplied notApplied) {
			this.readNeeded = true;
			if (notApplied.isPermanent()) {
				this.writeLimits = this.writeLimits.halved();
				this.rejectedAtNanos = this.control.nanoTime();
			}
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

	// Nobody would count the tokens if the store and this router lost them.
	private CompletableFuture<Boolean> announce(LedgerWrite write) {
		Map<String, GrantRow> rows = new HashMap<>();
		boolean granted = false;
		for (LedgerWrite.Change change : write.changes()) {
			rows.put(change.account().wallet().workspace(), change.row().withoutHoldings());
			granted |= change.delta() > 0;
		}
		return granted ? this.peers.announce(rows) : CompletableFuture.completedFuture(true);
	}

	private void onApplied(LedgerWrite write) {
		if (write.isPartialTakeover()) {
			write.changes()
				.forEach((change) -> this.recovery.remember(change.account().wallet().workspace(), change.row()));
			this.control.execute(this::startRound);
			return;
		}
		this.rowWritten = true;
		this.everWritten = true;
		this.readNeeded |= write.isRepairing();
		write.changes()
			.forEach((change) -> this.recovery.remember(change.account().wallet().workspace(), change.row()));
		this.appliedLimits = write.limits();
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
		if (this.changesLeft
				|| this.accounts.values().stream().anyMatch((account) -> account.wallet().waitingTokens() > 0)) {
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

	private boolean isPoolUnavailable() {
		return isStoreUnresponsive() || this.recovery.isWaiting();
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
			if (!prepaid || enough || isPoolUnavailable()) {
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
			if (missing > available && isPrimary(account) && missing <= account.unspentByAllTokens()) {
				// Borrowed from the routers that hold them.
				return missing;
			}
			return (missing <= available) ? Math.min(request.wantedTokens() - alreadyLentTokens, maxTokens) : 0;
		}

		@Override
		public LoanRequest limitToShare(String workspace, String borrower, LoanRequest request) {
			GrantAccount account = PrepaidLedger.this.accounts.get(workspace);
			return (account != null) ? account.limitToShare(borrower, request) : request;
		}

		@Override
		public void onLent(String workspace, String borrower, LoanRequest request, long tokens) {
			GrantAccount account = PrepaidLedger.this.accounts.get(workspace);
			if (account != null) {
				account.onLent(borrower, request, tokens);
			}
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
	 * @param firstStart whether the whole fleet starts for the first time, so that no
	 * router has taken tokens before
	 * @param capacityCores the processor capacity of the host in cores
	 */
	public record Identity(String address, String peerAddress, String incarnation, long startedAtNanos,
			boolean firstStart, double capacityCores) {

		/**
		 * Creates the identity of a router on a host with one core.
		 * @param address the address for callers as {@code ip:port}
		 * @param peerAddress the address for calls of other routers, empty without one
		 * @param incarnation the incarnation of the process
		 * @param startedAtNanos the latest time at which the process can have started
		 * @param firstStart whether the whole fleet starts for the first time
		 */
		public Identity(String address, String peerAddress, String incarnation, long startedAtNanos,
				boolean firstStart) {
			this(address, peerAddress, incarnation, startedAtNanos, firstStart, 1);
		}
	}

}
