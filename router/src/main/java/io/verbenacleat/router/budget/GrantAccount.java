package io.verbenacleat.router.budget;

import java.time.Duration;
import java.util.List;

import io.verbenacleat.core.platform.Row;
import org.jspecify.annotations.Nullable;

/**
 * One workspace in the ledger of this router: its wallet and the shared row as it was
 * read or written last. Used on the control thread.
 */
final class GrantAccount {

	/** A router refills when it holds less than this part of its target. */
	private static final double MAX_REFILL_FRACTION = 0.85;

	private static final double MIN_REFILL_FRACTION = 0.3;

	/**
	 * Refills of one row by all routers in a second: a round of a small host takes 50 ms,
	 * so that one in ten meets the write of another router.
	 */
	private static final double ROW_REFILLS_PER_S = 3;

	/** A router gives back what it holds beyond this multiple of its target. */
	private static final double SURPLUS_FACTOR = 1.5;

	/**
	 * Spent without a write in between: until the wallet is unlocked and one more write,
	 * with a smoothed demand that is a fifth behind the true one.
	 */
	private static final double HEADROOM_S = 3.6;

	/** Other routers learn when what this one holds has fallen below this part. */
	private static final double MAX_STALE_HOLDING_FRACTION = 0.7;

	/**
	 * The stated limits of all routers leave at most this part of what is unspent open.
	 */
	private static final double MAX_HEADROOM_FRACTION = 0.08;

	/** Callers that were refused come back within this time. */
	private static final Duration REFILL_PAUSE = Duration.ofSeconds(1);

	private final Wallet wallet;

	private final String address;

	private long allowanceTokens;

	private long configVersion = -1;

	private @Nullable GrantRow row;

	private long version;

	private long refillsPausedUntilNanos = Long.MIN_VALUE;

	GrantAccount(Wallet wallet, String address) {
		this.wallet = wallet;
		this.address = address;
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

	void configure(long newAllowanceTokens, long newConfigVersion) {
		this.allowanceTokens = newAllowanceTokens;
		this.configVersion = newConfigVersion;
	}

	void onRead(GrantRow newRow, Row readRow) {
		this.row = newRow;
		this.version = readRow.version();
	}

	void onWritten(GrantRow newRow, long newVersion) {
		this.row = newRow;
		this.version = newVersion;
	}

	void forget() {
		this.row = null;
	}

	/**
	 * Returns the tokens of the allowance that no router holds.
	 * @return the tokens, 0 while the row is unknown
	 */
	long poolTokens() {
		GrantRow current = this.row;
		return (current != null) ? Math.max(0, newestAllowanceTokens(current) - current.givenTokens()) : 0;
	}

	/**
	 * Returns how many tokens the router should take.
	 * @param nowNanos the steady time
	 * @return the tokens, below zero for those that it should give back, 0 for no change
	 */
	long planDelta(long nowNanos) {
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
		if (held < Math.max(waiting, target * refillFraction())) {
			return Math.max(0, Math.min(pool, target - held));
		}
		if (held > Math.max(target * SURPLUS_FACTOR, GrantSizing.maxRemainderTokens(unspentByAllTokens(), routerCount(current)))) {
			return target - held;
		}
		return 0;
	}

	/**
	 * Takes tokens for waiting requests only for some time, so that the remainders of all
	 * routers come together.
	 * @param nowNanos the steady time
	 */
	void pauseRefills(long nowNanos) {
		this.refillsPausedUntilNanos = nowNanos + REFILL_PAUSE.toNanos();
	}

	/**
	 * Returns whether the shared row names far more tokens for this router than it holds.
	 * Other routers would wait for them.
	 * @return {@code true} when the row should be written
	 */
	boolean isHoldingStale() {
		GrantRow current = this.row;
		GrantRow.Holding stated = (current != null) ? current.routers().get(this.address) : null;
		return stated != null && this.wallet.heldTokens() < stated.unspentTokens() * Math.min(MAX_STALE_HOLDING_FRACTION, refillFraction());
	}

	/**
	 * Returns the shared row after a change.
	 * @param delta the tokens that the router takes
	 * @return the row, based on the one that was read last
	 */
	GrantRow rowAfter(long delta) {
		GrantRow current = (this.row != null) ? this.row : GrantRow.empty();
		GrantRow.Holding holding = new GrantRow.Holding(this.wallet.heldTokens() + Math.max(0, delta),
				(long) this.wallet.demandPerS());
		return current.withHolding(this.address, holding, delta, newestAllowanceTokens(current),
				Math.max(current.configVersion(), this.configVersion));
	}

	/**
	 * Returns the limit that the router states in its next write.
	 * @param delta the tokens that the router takes in that write
	 * @return the limit
	 */
	RouterRow.Limit nextLimit(long delta) {
		long grantedTokens = this.wallet.grantedTokens() + Math.max(0, delta);
		double headroomTokens = Math.min(this.wallet.demandPerS() * HEADROOM_S, unspentByAllTokens() * demandShare() * MAX_HEADROOM_FRACTION);
		long limitTokens = Math.min(grantedTokens, this.wallet.committedTokens() + this.wallet.waitingTokens() + (long) headroomTokens);
		return new RouterRow.Limit(grantedTokens, limitTokens);
	}

	// A refill takes what was spent since the one before, so that larger ones are rarer.
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
	 * Returns the other routers that can lend tokens to the waiting requests.
	 * @return their addresses for callers, largest holders first
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
	 * Returns the tokens of the allowance that were not spent, whoever holds them.
	 * @return the tokens as of the row and the own wallet, 0 while the row is unknown
	 */
	long unspentByAllTokens() {
		GrantRow current = this.row;
		if (current == null) {
			return 0;
		}
		return Math.max(0, newestAllowanceTokens(current) - current.givenTokens() + this.wallet.heldTokens()
				+ current.heldByOthersTokens(this.address));
	}

	// The allowance of the newest configuration that any router knows.
	private long newestAllowanceTokens(GrantRow current) {
		return (current.configVersion() > this.configVersion) ? current.allowanceTokens() : this.allowanceTokens;
	}

}
