package io.verbenacleat.router.budget;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import com.google.common.hash.Hashing;
import io.verbenacleat.core.platform.Row;
import org.jspecify.annotations.Nullable;

/**
 * The account of one workspace at this router: its wallet and the last known shared row.
 * Decides when tokens are taken from the pool or returned. Confined to the control
 * thread.
 */
final class GrantAccount {

	/** Upper bound of the fraction of the target below which a router refills. */
	private static final double MAX_REFILL_FRACTION = 0.85;

	/** Lower bound of the fraction of the target below which a router refills. */
	private static final double MIN_REFILL_FRACTION = 0.3;

	/**
	 * Refills of one row per second, by all routers together. A round takes 50 ms on a
	 * small host, so that about one in ten conflicts with the write of another router.
	 */
	private static final double ROW_REFILLS_PER_S = 3;

	/** A router returns tokens when it holds more than this multiple of its target. */
	private static final double SURPLUS_FACTOR = 1.5;

	/**
	 * Headroom of a limit above the committed tokens, in seconds of demand. It covers
	 * spending until the limit is lifted and one more write, for a smoothed demand that
	 * lags a fifth behind the actual one.
	 */
	private static final double HEADROOM_S = 3.6;

	/**
	 * Requests of mean size by which the headroom is larger. With a few requests a
	 * second, their number within {@link #HEADROOM_S} varies by about this much.
	 */
	private static final double HEADROOM_REQUESTS = 2;

	/**
	 * Upper bound of the fraction of the tokens listed for a router in the shared row
	 * below which the router updates the row.
	 */
	private static final double MAX_STALE_HOLDING_FRACTION = 0.7;

	/**
	 * The headroom of all routers together is at most this fraction of the unspent
	 * tokens.
	 */
	private static final double MAX_HEADROOM_FRACTION = 0.12;

	/** Headroom of a primary router for loans, in seconds of the demand of the others. */
	private static final double LENDING_HEADROOM_S = 1;

	/**
	 * Headroom of a primary router before the others have any demand, as a fraction of
	 * the largest headroom. Without it, each first loan waits for a write.
	 */
	private static final double MIN_LENDING_FRACTION = 0.5;

	/**
	 * Tokens that a primary router holds for loans, in seconds of the demand of the
	 * others. They cover several rounds of the ledger.
	 */
	private static final double RESERVE_S = 2;

	/** Upper bound of that reserve, as a fraction of the unspent tokens. */
	private static final double MAX_RESERVE_FRACTION = 0.25;

	/** The reserve before any demand is known, as a fraction of the unspent tokens. */
	private static final double MIN_RESERVE_FRACTION = 0.15;

	/** All borrowers together hold at most this fraction of the unspent tokens. */
	private static final double MAX_LENT_FRACTION = 0.8;

	/** Refills pause for this time after a refusal; refused callers retry within it. */
	private static final Duration REFILL_PAUSE = Duration.ofSeconds(1);

	private final Wallet wallet;

	private final String address;

	private final int order;

	private long allowanceTokens;

	private long configVersion = -1;

	private @Nullable GrantRow row;

	private long version;

	private long refillsPausedUntilNanos = Long.MIN_VALUE;

	/**
	 * Whether another router has changed the row since this one prepared its last write.
	 */
	private boolean contended;

	GrantAccount(Wallet wallet, String address) {
		this.wallet = wallet;
		this.address = address;
		this.order = hash(wallet.workspace()) - hash(address);
	}

	private static int hash(String text) {
		return Hashing.murmur3_32_fixed().hashString(text, StandardCharsets.UTF_8).asInt();
	}

	Wallet wallet() {
		return this.wallet;
	}

	String key() {
		return PrepaidLedger.GRANT_PREFIX + this.wallet.workspace();
	}

	@Nullable
	GrantRow row() {
		return this.row;
	}

	long version() {
		return this.version;
	}

	/**
	 * Returns the size of the shared row after a change by this router.
	 * @return an upper bound in bytes
	 */
	int maxRowBytes() {
		GrantRow current = this.row;
		return ((current != null) ? current : GrantRow.empty()).maxBytes();
	}

	/**
	 * Returns the position of the row in the order in which this router writes more rows
	 * than fit in a transaction. Routers go round the same ring of rows from different
	 * places, so that they seldom write the same ones at the same time.
	 * @return any integer
	 */
	int order() {
		return this.order;
	}

	/**
	 * Returns whether the router has returned all unspent tokens and states none in the
	 * shared row, so that the account can be removed.
	 * @return {@code false} while requests hold or await tokens
	 */
	boolean isUnused() {
		return this.row != null && this.wallet.isUnused() && !isHoldingStale();
	}

	/**
	 * Sets the allowance of the workspace.
	 * @param newAllowanceTokens the allowance in tokens
	 * @param newConfigVersion the version of the configuration that contains it
	 */
	void configure(long newAllowanceTokens, long newConfigVersion) {
		this.allowanceTokens = newAllowanceTokens;
		this.configVersion = newConfigVersion;
	}

	/**
	 * Replaces the shared row after a read.
	 * @param newRow the row
	 * @param readRow the row as stored, with its version
	 */
	void onRead(GrantRow newRow, Row readRow) {
		this.row = newRow;
		this.version = readRow.version();
	}

	/**
	 * Replaces the shared row after a successful write.
	 * @param newRow the row
	 * @param newVersion its version in the store
	 */
	void onWritten(GrantRow newRow, long newVersion) {
		this.row = newRow;
		this.version = newVersion;
		this.contended = false;
	}

	/**
	 * Records that a write failed because another router had changed the row.
	 */
	void onConflict() {
		this.contended = true;
	}

	/**
	 * Returns whether the last write of the row failed because another router had changed
	 * it. A transaction with other rows would then probably fail for all of them.
	 * @return {@code true} until a write of the row succeeds
	 */
	boolean isContended() {
		return this.contended;
	}

	/**
	 * Discards the shared row, so that it is read again.
	 */
	void forget() {
		this.row = null;
	}

	/**
	 * Returns whether requests wait although the router holds the tokens for them.
	 * @return {@code true} if the next write of the limit lets them go on
	 */
	boolean isWaitingForLimit() {
		long waiting = this.wallet.waitingTokens();
		return waiting > 0 && waiting <= this.wallet.heldTokens();
	}

	/**
	 * Returns the tokens of the allowance that are not granted to any router.
	 * @return the tokens, 0 while the row is unknown
	 */
	long poolTokens() {
		GrantRow current = this.row;
		return (current != null) ? Math.max(0, newestAllowanceTokens(current) - current.givenTokens()) : 0;
	}

	/**
	 * Returns how many tokens the router should take from the pool.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @param primary whether the router lends tokens of the workspace to all others
	 * @return the tokens, negative if it should return tokens, 0 for no change
	 */
	long planDelta(long nowNanos, boolean primary) {
		GrantRow current = this.row;
		if (current == null) {
			return 0;
		}
		long pool = newestAllowanceTokens(current) - current.givenTokens();
		long held = this.wallet.heldTokens();
		long waiting = this.wallet.waitingTokens();
		if (nowNanos < this.refillsPausedUntilNanos) {
			return (waiting > held && waiting - held <= pool) ? waiting - held : 0;
		}
		long target = GrantSizing.targetTokens(pool, held, current.heldByOthersTokens(this.address), waiting,
				this.wallet.demandPerS(), current.demandOfOthersPerS(this.address), this.wallet.meanRequestTokens(),
				routerCount(current));
		if (primary) {
			target = Math.min(Math.max(0, pool + held), target + lendingReserveTokens(current));
		}
		if (held < Math.max(waiting, target * refillFraction())) {
			return Math.max(0, Math.min(pool, target - held));
		}
		if (held > Math.max(target * SURPLUS_FACTOR,
				GrantSizing.maxRemainderTokens(unspentByAllTokens(), routerCount(current)))) {
			return target - held;
		}
		return 0;
	}

	private long lendingReserveTokens(GrantRow current) {
		double unspent = unspentByAllTokens();
		return (long) Math.min(unspent * MAX_RESERVE_FRACTION,
				Math.max(unspent * MIN_RESERVE_FRACTION, current.demandOfOthersPerS(this.address) * RESERVE_S));
	}

	/**
	 * Limits a loan to the share of the borrower in the unspent tokens, by the demand of
	 * all routers.
	 * @param borrower the address of the borrower
	 * @param request what it asks for
	 * @return the limited request
	 */
	LoanRequest limitToShare(String borrower, LoanRequest request) {
		GrantRow current = this.row;
		if (current == null) {
			return request;
		}
		GrantRow.Holding stated = current.routers().getOrDefault(borrower, new GrantRow.Holding(0, 0));
		double others = this.wallet.demandPerS() + current.demandOfOthersPerS(this.address) - stated.demandPerS();
		double share = (request.demandPerS() > 0) ? request.demandPerS() / (request.demandPerS() + Math.max(0, others))
				: 0;
		long fairTokens = (long) (unspentByAllTokens() * MAX_LENT_FRACTION * share);
		return request.limitedTo(fairTokens - request.heldTokens());
	}

	/**
	 * Records a loan in the shared row, which is written with the next change.
	 * @param borrower the address of the borrower
	 * @param request what it asked for
	 * @param tokens the tokens that it got
	 */
	void onLent(String borrower, LoanRequest request, long tokens) {
		GrantRow current = this.row;
		if (current != null) {
			this.row = current.withLoan(borrower,
					new GrantRow.Holding(request.heldTokens() + tokens, (long) request.demandPerS()));
		}
	}

	/**
	 * Takes tokens only for waiting requests during {@link #REFILL_PAUSE}, so that the
	 * remainders that routers return add up in the pool.
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void pauseRefills(long nowNanos) {
		this.refillsPausedUntilNanos = nowNanos + REFILL_PAUSE.toNanos();
	}

	/**
	 * Returns whether the shared row lists far more unspent tokens for this router than
	 * it holds. Other routers would try to borrow them and wait in vain.
	 * @return {@code true} if the row should be written
	 */
	boolean isHoldingStale() {
		GrantRow current = this.row;
		GrantRow.Holding stated = (current != null) ? current.routers().get(this.address) : null;
		return stated != null && this.wallet.heldTokens() < stated.unspentTokens()
				* Math.min(MAX_STALE_HOLDING_FRACTION, refillFraction());
	}

	/**
	 * Returns the shared row after a change by this router.
	 * @param delta the tokens that the router takes, negative if it returns tokens
	 * @param era the era of the store
	 * @return the row, based on the last known one
	 */
	GrantRow rowAfter(long delta, long era) {
		GrantRow current = (this.row != null) ? this.row : GrantRow.empty();
		GrantRow.Holding holding = new GrantRow.Holding(this.wallet.heldTokens() + Math.max(0, delta),
				(long) this.wallet.demandPerS());
		return current.withHolding(this.address, holding, delta, newestAllowanceTokens(current),
				Math.max(current.configVersion(), this.configVersion), era);
	}

	/**
	 * Returns the limit for the next write.
	 * @param delta the tokens that the router takes in that write, negative if it returns
	 * tokens
	 * @param primary whether the router lends tokens of the workspace to all others
	 * @return the limit
	 */
	RouterRow.Limit nextLimit(long delta, boolean primary) {
		long grantedTokens = this.wallet.grantedTokens() + Math.max(0, delta);
		GrantRow current = this.row;
		double lentPerS = (primary && current != null) ? current.demandOfOthersPerS(this.address) : 0;
		double share = primary ? 1 : demandShare();
		double wantedTokens = this.wallet.demandPerS() * HEADROOM_S + lentPerS * LENDING_HEADROOM_S
				+ this.wallet.meanRequestTokens() * HEADROOM_REQUESTS;
		double maxTokens = unspentByAllTokens() * share * MAX_HEADROOM_FRACTION;
		double headroomTokens = Math.min(Math.max(wantedTokens, primary ? maxTokens * MIN_LENDING_FRACTION : 0),
				maxTokens);
		long limitTokens = Math.min(grantedTokens,
				this.wallet.committedTokens() + this.wallet.waitingTokens() + (long) headroomTokens);
		return new RouterRow.Limit(grantedTokens, limitTokens);
	}

	// The more routers share a row, the lower the fraction: refills become larger and
	// rarer, which bounds the writes of the row.
	private double refillFraction() {
		GrantRow current = this.row;
		int routers = (current != null) ? current.routers().size() : 1;
		double fraction = 1 - routers / (GrantSizing.TARGET_S * ROW_REFILLS_PER_S);
		return Math.max(MIN_REFILL_FRACTION, Math.min(MAX_REFILL_FRACTION, fraction));
	}

	private double demandShare() {
		GrantRow current = this.row;
		double others = (current != null) ? current.demandOfOthersPerS(this.address) : 0;
		double own = this.wallet.demandPerS();
		return (own + others > 0) ? own / (own + others) : 1;
	}

	/**
	 * Returns the other routers that may lend enough for the waiting requests.
	 * @return their addresses for callers, largest holders first; empty while the row is
	 * unknown
	 */
	List<String> holders() {
		GrantRow current = this.row;
		return (current != null) ? current.holders(this.address, Wallet.minLoanTokens(this.wallet.shortfallRequest()))
				: List.of();
	}

	private int routerCount(GrantRow current) {
		return current.routers().size() + (current.routers().containsKey(this.address) ? 0 : 1);
	}

	/**
	 * Returns the tokens of the allowance that no router has spent, according to the
	 * shared row and the wallet of this router.
	 * @return the tokens, 0 while the row is unknown
	 */
	long unspentByAllTokens() {
		GrantRow current = this.row;
		if (current == null) {
			return 0;
		}
		return Math.max(0, newestAllowanceTokens(current) - current.givenTokens() + this.wallet.heldTokens()
				+ current.heldByOthersTokens(this.address));
	}

	// The row may contain the allowance of a newer configuration than this router has.
	private long newestAllowanceTokens(GrantRow current) {
		return (current.configVersion() > this.configVersion) ? current.allowanceTokens() : this.allowanceTokens;
	}

}
