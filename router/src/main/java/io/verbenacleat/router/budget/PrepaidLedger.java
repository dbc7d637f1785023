package io.verbenacleat.router.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
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
 * A write without a known outcome is repeated with the same condition on the version of
 * the row, so that it takes effect at most once; the row then tells by the number of the
 * write whether it did.
 */
public final class PrepaidLedger implements AutoCloseable {

	/** The keys of the shared rows begin with this. */
	static final String KEY_PREFIX = "grant/";

	private static final Duration INTERVAL = Duration.ofMillis(250);

	/** Requests do not wait for tokens longer than this while a call is not answered. */
	private static final Duration MAX_WAIT = Duration.ofSeconds(1);

	/** A request is refused by a row that was read within this time. */
	private static final Duration MAX_ROW_AGE = Duration.ofMillis(500);

	/** A router refills when it holds less than this part of its target. */
	private static final double REFILL_PART = 0.85;

	/** A router gives back what it holds beyond this multiple of its target. */
	private static final double SURPLUS_FACTOR = 1.5;

	private static final double NANOS_PER_SECOND = 1e9;

	private final String incarnation;

	private final TableStore store;

	private final ControlThread control;

	private final DecisionLog log;

	private final Map<String, Wallet> wallets = new ConcurrentHashMap<>();

	private final Map<String, Account> accounts = new HashMap<>();

	private final Cancellable timer;

	private @Nullable RoutingTable config;

	private boolean busy;

	private boolean soon;

	private long updatedAtNanos;

	private long callStartedAtNanos;

	/**
	 * Creates a ledger and starts its timer.
	 * @param incarnation the identity of this run of the router
	 * @param store the table service
	 * @param control the control thread
	 * @param log gets a line for each change of a grant
	 */
	public PrepaidLedger(String incarnation, TableStore store, ControlThread control, DecisionLog log) {
		this.incarnation = incarnation;
		this.store = store;
		this.control = control;
		this.log = log;
		this.updatedAtNanos = control.nanoTime();
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
	 * Has waiting requests served as soon as possible.
	 */
	public void wake() {
		this.control.execute(() -> {
			if (!this.soon) {
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
	 * Gives all unspent tokens back.
	 * @return completes when they were given back, or could not be
	 */
	public CompletableFuture<Boolean> giveBack() {
		CompletableFuture<Boolean> done = new CompletableFuture<>();
		this.control.execute(() -> {
			this.timer.cancel();
			giveBack(done);
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
		if (this.busy && nowNanos - this.callStartedAtNanos > MAX_WAIT.toNanos()) {
			refuseWaiting();
		}
		round();
	}

	// One round of reads and writes at a time; the rows of all workspaces go together.
	private void round() {
		this.soon = false;
		RoutingTable table = this.config;
		if (this.busy || table == null) {
			return;
		}
		List<Account> due = new ArrayList<>();
		for (Workspace workspace : table.workspaces()) {
			Wallet wallet = this.wallets.get(workspace.name());
			if (wallet == null || !workspace.isPrepaid()) {
				continue;
			}
			Account account = this.accounts.computeIfAbsent(workspace.name(), (name) -> new Account(wallet));
			account.allowance = workspace.prepaidTokens();
			account.configVersion = table.version();
			account.dropStaleRow();
			if (account.pending != null || account.row == null || account.plan() != 0
					|| account.wallet.waitingTokens() > 0) {
				due.add(account);
			}
		}
		if (due.isEmpty()) {
			return;
		}
		this.busy = true;
		this.callStartedAtNanos = this.control.nanoTime();
		if (due.stream().anyMatch((account) -> account.row == null)) {
			read(due);
		}
		else {
			write(due);
		}
	}

	private void read(List<Account> due) {
		List<String> keys = due.stream().map(Account::key).toList();
		this.store.read(keys).whenCompleteAsync((rows, failure) -> {
			if (failure != null) {
				this.log.event("grants.unread").with("reason", String.valueOf(failure.getMessage())).emit();
				this.busy = false;
				refuseWaiting();
				return;
			}
			for (int i = 0; i < due.size(); i++) {
				due.get(i).take(rows.get(i));
			}
			write(due);
		}, this.control);
	}

	private void write(List<Account> due) {
		Transaction.Builder transaction = Transaction.builder();
		List<Account> written = new ArrayList<>();
		for (Account account : due) {
			GrantWrite write = account.nextWrite();
			if (write != null) {
				transaction.putIf(account.key(), account.version, Json.write(write.row()));
				written.add(account);
			}
		}
		if (written.isEmpty()) {
			this.busy = false;
			return;
		}
		this.store.transact(transaction.build())
			.whenCompleteAsync((outcome, failure) -> finish(written, outcome), this.control);
	}

	private void finish(List<Account> written, @Nullable WriteOutcome outcome) {
		this.busy = false;
		if (outcome instanceof WriteOutcome.Applied applied) {
			for (Account account : written) {
				account.applied(applied.versions().getOrDefault(account.key(), 0L));
			}
		}
		else if (outcome instanceof WriteOutcome.Conflict) {
			written.forEach((account) -> account.row = null);
			this.control.execute(this::round);
		}
		else if (outcome instanceof WriteOutcome.NotApplied notApplied) {
			written.forEach(Account::notApplied);
			refuseWaiting();
			this.log.event("grants.unwritten").with("reason", String.valueOf(notApplied.cause().getMessage())).emit();
		}
		else {
			// Read again before the repeat: the write may have taken effect.
			written.forEach((account) -> account.row = null);
			refuseWaiting();
			this.log.event("grants.unknown").with("workspaces", written.size()).emit();
		}
	}

	private void refuseWaiting() {
		this.wallets.values().forEach((wallet) -> wallet.refuseWaiting(false));
	}

	private void giveBack(CompletableFuture<Boolean> done) {
		if (this.busy) {
			this.control.schedule(INTERVAL, () -> giveBack(done));
			return;
		}
		Collection<Account> open = this.accounts.values();
		Transaction.Builder transaction = Transaction.builder();
		int count = 0;
		for (Account account : open) {
			GrantRow row = account.row;
			if (row == null || account.pending != null || account.version == 0) {
				continue;
			}
			long returned = account.wallet.withdraw(Long.MAX_VALUE);
			transaction.putIf(account.key(), account.version, Json.write(row.without(this.incarnation, returned)));
			count++;
		}
		if (count == 0) {
			done.complete(true);
			return;
		}
		this.store.transact(transaction.build()).whenCompleteAsync((outcome, failure) -> {
			boolean applied = outcome instanceof WriteOutcome.Applied;
			this.log.event("grants.returned").with("applied", applied).emit();
			done.complete(applied);
		}, this.control);
	}

	/**
	 * A write that was sent or is about to be.
	 *
	 * @param row the row as it is to be
	 * @param number the number of the write
	 * @param delta the tokens that it takes, below zero for those that it gives back
	 */
	private record GrantWrite(GrantRow row, long number, long delta) {
	}

	private final class Account {

		private final Wallet wallet;

		private long allowance;

		private long configVersion;

		private @Nullable GrantRow row;

		private long version;

		private @Nullable GrantWrite pending;

		private long writes;

		private long readAtNanos;

		private Account(Wallet wallet) {
			this.wallet = wallet;
		}

		private String key() {
			return KEY_PREFIX + this.wallet.workspace();
		}

		// The allowance of the newest configuration that any router knows.
		private long allowance(GrantRow current) {
			return (current.configVersion() > this.configVersion) ? current.allowanceTokens() : this.allowance;
		}

		// Requests are refused only by a fresh row; others may have given tokens back.
		private void dropStaleRow() {
			long ageNanos = PrepaidLedger.this.control.nanoTime() - this.readAtNanos;
			if (this.wallet.waitingTokens() > 0 && plan() == 0 && ageNanos > MAX_ROW_AGE.toNanos()) {
				this.row = null;
			}
		}

		private long plan() {
			GrantRow current = this.row;
			if (current == null) {
				return 0;
			}
			long pool = allowance(current) - current.givenTokens();
			long available = this.wallet.available();
			long waiting = this.wallet.waitingTokens();
			long target = GrantSizing.target(pool, available, current.heldByOthers(PrepaidLedger.this.incarnation),
					waiting, this.wallet.demandPerS(), current.demandOfOthers(PrepaidLedger.this.incarnation));
			if (available < Math.max(waiting, target * REFILL_PART)) {
				return Math.max(0, Math.min(pool, target - available));
			}
			if (available > target * SURPLUS_FACTOR) {
				return target - available;
			}
			return 0;
		}

		private void take(Row read) {
			GrantWrite before = this.pending;
			GrantRow current = GrantRow.empty();
			try {
				if (read.exists()) {
					current = Json.read(read.json(), GrantRow.class);
				}
			}
			catch (JsonFormatException ex) {
				PrepaidLedger.this.log.event("grant.unreadable")
					.with("workspace", this.wallet.workspace())
					.with("reason", String.valueOf(ex.getMessage()))
					.emit();
				return;
			}
			this.row = current;
			GrantRow.Holding mine = current.routers().get(PrepaidLedger.this.incarnation);
			if (before != null && mine != null && mine.write() >= before.number()) {
				this.pending = null;
				take(before);
			}
			else if (before != null && read.version() != this.version) {
				// Another write came first: the condition of the pending one fails for
				// good.
				this.pending = null;
				undo(before);
			}
			this.version = read.version();
			this.readAtNanos = PrepaidLedger.this.control.nanoTime();
		}

		private @Nullable GrantWrite nextWrite() {
			GrantRow current = this.row;
			if (current == null) {
				return null;
			}
			GrantWrite repeated = this.pending;
			if (repeated != null) {
				return repeated;
			}
			long delta = plan();
			if (delta == 0) {
				refuse(current);
				return null;
			}
			if (delta < 0) {
				delta = -this.wallet.withdraw(-delta);
				if (delta == 0) {
					return null;
				}
			}
			long number = ++this.writes;
			// Withdrawn tokens are out of the wallet already, taken ones are not yet in
			// it.
			long given = this.wallet.given() + Math.max(0, delta);
			GrantRow.Holding holding = new GrantRow.Holding(given, this.wallet.spent(), (long) this.wallet.demandPerS(),
					number);
			long known = Math.max(current.configVersion(), this.configVersion);
			GrantWrite write = new GrantWrite(
					current.with(PrepaidLedger.this.incarnation, holding, delta, allowance(current), known), number,
					delta);
			this.pending = write;
			return write;
		}

		private void refuse(GrantRow current) {
			if (this.wallet.waitingTokens() == 0) {
				return;
			}
			long unspent = allowance(current) - current.givenTokens() + this.wallet.available()
					+ current.heldByOthers(PrepaidLedger.this.incarnation);
			this.wallet.refuseWaiting(unspent < this.wallet.waitingTokens());
		}

		private void applied(long newVersion) {
			GrantWrite write = this.pending;
			this.pending = null;
			this.version = newVersion;
			if (write != null) {
				this.row = write.row();
				take(write);
			}
		}

		private void notApplied() {
			GrantWrite write = this.pending;
			this.pending = null;
			if (write != null) {
				undo(write);
			}
		}

		private void take(GrantWrite write) {
			PrepaidLedger.this.log.event("grant.changed")
				.with("workspace", this.wallet.workspace())
				.with("tokens", write.delta())
				.with("given_by_all", write.row().givenTokens())
				.with("allowance", write.row().allowanceTokens())
				.with("config_version", write.row().configVersion())
				.emit();
			this.wallet.deposit(Math.max(0, write.delta()));
		}

		// Tokens that were to be given back go back into the wallet.
		private void undo(GrantWrite write) {
			this.wallet.deposit(Math.max(0, -write.delta()));
		}

	}

}
