package io.verbenacleat.router.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TransactionRoom;

/**
 * Keeps the allowances when the store comes back from an older copy of the shared rows.
 * Confined to the control thread.
 * <p>
 * Each router remembers the newest version of each shared row that it has seen. In a new
 * era of the store, routers write back rows that are newer than the stored ones, and then
 * one of them settles the era. Nobody takes tokens from the pool before that; tokens that
 * routers hold are counted by the rows that are written back, and are spent meanwhile. A
 * router that learns of the era later adds what was not counted.
 * <p>
 * A router that started in an unsettled era remembers nothing and leaves this to the
 * others. If there are none, every allowance counts as used up, since anything may have
 * been taken from it.
 */
final class LedgerRecovery {

	/** Key of the row with the last settled era. */
	static final String KEY = "ledger/history";

	/** Time in which the other routers learn of a new era and write rows back. */
	static final Duration SETTLE_DELAY = Duration.ofMillis(1_500);

	/** Time that a router without memory leaves to the others. */
	static final Duration MEMORY_WAIT = Duration.ofSeconds(5);

	/** The newest rows by workspace. */
	private final Map<String, GrantRow> newest = new HashMap<>();

	private final List<Repair> repairs = new ArrayList<>();

	/** The era since which all rows are remembered. */
	private long completeSinceEra;

	private long era = StoreEra.UNKNOWN;

	private boolean eraBefore;

	private long sinceNanos;

	private long settledEra = StoreEra.UNKNOWN;

	private long settledVersion = StoreEra.UNKNOWN;

	/**
	 * Creates the state of a router that has seen nothing.
	 * @param complete whether there is nothing to remember, because the fleet starts for
	 * the first time
	 */
	LedgerRecovery(boolean complete) {
		this.completeSinceEra = complete ? StoreEra.UNKNOWN : Long.MAX_VALUE;
	}

	/**
	 * Starts a new era of the store.
	 * @param newEra the era
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void begin(long newEra, long nowNanos) {
		this.eraBefore = this.era != StoreEra.UNKNOWN;
		this.era = newEra;
		this.sinceNanos = nowNanos;
		this.settledEra = StoreEra.UNKNOWN;
		this.settledVersion = StoreEra.UNKNOWN;
		this.repairs.clear();
	}

	/**
	 * Returns the era of the rows.
	 * @return the era, {@link StoreEra#UNKNOWN} before the first read
	 */
	long era() {
		return this.era;
	}

	/**
	 * Returns whether tokens may be taken from the pools and returned to them.
	 * @return {@code true} if the rows contain what routers know of earlier eras
	 */
	boolean isSettled() {
		return this.era != StoreEra.UNKNOWN && this.settledEra == this.era;
	}

	/**
	 * Returns whether routers wait for what others know, so that requests should be
	 * served without the pools.
	 * @return {@code false} also before the first read, and at the first start of a fleet
	 */
	boolean isWaiting() {
		boolean read = this.settledVersion != StoreEra.UNKNOWN;
		return read && !isSettled() && (this.eraBefore || !isComplete());
	}

	/**
	 * Returns whether this router remembers the shared rows of all workspaces.
	 * @return {@code false} after a start, until all rows were read in a settled era
	 */
	boolean isComplete() {
		return this.completeSinceEra != Long.MAX_VALUE;
	}

	/**
	 * Records that all shared rows of a settled era were read.
	 */
	void markComplete() {
		this.completeSinceEra = this.era;
	}

	/**
	 * Returns the workspaces whose rows are remembered.
	 * @return their names
	 */
	Set<String> workspaces() {
		return Set.copyOf(this.newest.keySet());
	}

	/**
	 * Remembers a row if it is newer than the known one.
	 * @param workspace the workspace
	 * @param row its row
	 */
	void remember(String workspace, GrantRow row) {
		GrantRow known = this.newest.get(workspace);
		if (known == null || row.isNewerThan(known)) {
			this.newest.put(workspace, row);
		}
	}

	/**
	 * Applies the row with the last settled era.
	 * @param row the row, which may be absent
	 * @throws JsonFormatException if it cannot be read
	 */
	void onHistoryRow(Row row) throws JsonFormatException {
		this.settledEra = row.exists() ? Json.read(row.json(), History.class).era() : StoreEra.UNKNOWN;
		this.settledVersion = row.version();
	}

	/**
	 * Compares a stored row with what is remembered, and plans its repair if it lacks
	 * something.
	 * @param workspace the workspace
	 * @param stored the row
	 * @param version its version in the store
	 */
	void onGrantRow(String workspace, GrantRow stored, long version) {
		GrantRow known = this.newest.get(workspace);
		GrantRow repaired = (known != null) ? repaired(stored, known) : stored;
		if (repaired != stored) {
			this.repairs.add(new Repair(workspace, stored, repaired, version));
		}
		else {
			remember(workspace, stored);
		}
	}

	// A row of this era that is older than the known one was overwritten by a delayed
	// write, whose condition passed because versions are given out again.
	private GrantRow repaired(GrantRow stored, GrantRow known) {
		if (stored.era() == this.era && known.era() < this.era) {
			return stored.withLostChanges(known, this.completeSinceEra < this.era);
		}
		return known.isNewerThan(stored) ? known : stored;
	}

	/**
	 * Plans to count the whole allowance of a workspace as used up.
	 * @param workspace the workspace
	 * @param stored its row
	 * @param version its version in the store
	 * @param allowance the allowance in tokens
	 * @param configVersion the version of the configuration with that allowance
	 */
	void onLostMemory(String workspace, GrantRow stored, long version, long allowance, long configVersion) {
		if (stored.era() < this.era) {
			this.repairs
				.add(new Repair(workspace, stored, stored.withLostMemory(this.era, allowance, configVersion), version));
		}
	}

	/**
	 * Returns whether the allowances must be counted as used up, since no router that
	 * remembers them has settled the era.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return {@code true} at a router without memory, after {@link #MEMORY_WAIT}
	 */
	boolean isMemoryLost(long nowNanos) {
		return !isSettled() && !isComplete() && nowNanos - this.sinceNanos >= MEMORY_WAIT.toNanos();
	}

	/**
	 * Forgets the planned repairs before the rows are read again.
	 */
	void clearRepairs() {
		this.repairs.clear();
	}

	/**
	 * Adds repairs to a write or, when none are planned, the row that settles the era.
	 * @param write the write
	 * @param selected the repairs of {@link #nextRepairs}
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void addTo(LedgerWrite write, List<Repair> selected, long nowNanos) {
		selected.forEach((repair) -> write.put(repair.key(), repair.version(), Json.write(repair.row())));
		if (this.repairs.isEmpty() && canSettle(nowNanos)) {
			write.put(KEY, this.settledVersion, Json.write(new History(this.era)));
		}
	}

	/**
	 * Selects the repairs of the next write.
	 * @param room the room in its transaction
	 * @return as many as fit
	 */
	List<Repair> nextRepairs(TransactionRoom room) {
		return this.repairs.stream().takeWhile((repair) -> room.tryPut(repair.key(), repair.row().maxBytes())).toList();
	}

	/**
	 * Returns whether there is something to write.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return {@code true} if {@link #addTo} adds a row
	 */
	boolean isWriteDue(long nowNanos) {
		return !this.repairs.isEmpty() || canSettle(nowNanos);
	}

	private boolean canSettle(long nowNanos) {
		boolean read = this.settledVersion != StoreEra.UNKNOWN;
		if (!read || isSettled()) {
			return false;
		}
		boolean waited = !this.eraBefore || nowNanos - this.sinceNanos >= SETTLE_DELAY.toNanos();
		return isComplete() ? waited : isMemoryLost(nowNanos);
	}

	/**
	 * A shared row that is to be written.
	 *
	 * @param workspace the workspace
	 * @param stored the stored row
	 * @param row the row to write
	 * @param version the version of the stored row
	 */
	record Repair(String workspace, GrantRow stored, GrantRow row, long version) {

		private String key() {
			return PrepaidLedger.GRANT_PREFIX + this.workspace;
		}

	}

	/**
	 * The content of the row with the last settled era.
	 *
	 * @param era the era
	 */
	record History(long era) {
	}

}
