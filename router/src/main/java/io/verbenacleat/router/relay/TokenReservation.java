package io.verbenacleat.router.relay;

import io.verbenacleat.router.budget.PrepaidLedger;
import io.verbenacleat.router.budget.Wallet;

/**
 * The prepaid tokens of one request: reserved before it is sent, billed once when it has
 * ended. Not safe for use by several threads, except {@link #granted} and
 * {@link #refused}.
 */
final class TokenReservation implements Wallet.Waiter {

	private final Relay relay;

	private final Wallet wallet;

	private final long promptTokens;

	private final long maxOutputTokens;

	private final Listener listener;

	private boolean reserved;

	private boolean waiting;

	private boolean settled;

	TokenReservation(Relay relay, Wallet wallet, TokenUsage usage, Listener listener) {
		this.relay = relay;
		this.wallet = wallet;
		this.promptTokens = usage.promptTokens();
		this.maxOutputTokens = usage.maxOutputTokens();
		this.listener = listener;
	}

	/**
	 * Reserves the tokens, or waits for them.
	 */
	void reserve() {
		if (this.wallet.tryReserve(tokens())) {
			this.reserved = true;
			this.listener.onTokensReserved();
			return;
		}
		this.waiting = true;
		this.wallet.await(this);
		PrepaidLedger ledger = this.relay.ledger();
		ledger.wake();
	}

	/**
	 * Returns whether the tokens are still missing.
	 * @return {@code true} between {@link #reserve} and the call of the listener
	 */
	boolean isWaiting() {
		return this.waiting;
	}

	/**
	 * Bills the tokens that were used; later calls do nothing.
	 * @param mayHaveRun whether a backend server may have run the request
	 * @param deliveredTokens the output tokens that went to the caller
	 * @return the billed tokens
	 */
	long settle(boolean mayHaveRun, long deliveredTokens) {
		if (this.settled) {
			return 0;
		}
		this.settled = true;
		if (this.waiting && this.wallet.cancel(this)) {
			return 0;
		}
		if (!this.reserved) {
			return 0;
		}
		long used = mayHaveRun ? this.promptTokens + Math.min(this.maxOutputTokens, deliveredTokens) : 0;
		this.wallet.settle(tokens(), used);
		return used;
	}

	@Override
	public long tokens() {
		return this.promptTokens + this.maxOutputTokens;
	}

	@Override
	public void granted() {
		this.relay.executor().execute(() -> {
			this.waiting = false;
			if (this.settled) {
				this.wallet.settle(tokens(), 0);
				return;
			}
			this.reserved = true;
			this.listener.onTokensReserved();
		});
	}

	@Override
	public void refused(boolean allowanceUsedUp) {
		this.relay.executor().execute(() -> {
			this.waiting = false;
			if (!this.settled) {
				this.settled = true;
				this.listener.onTokensUnavailable(allowanceUsedUp);
			}
		});
	}

	/**
	 * Learns whether the tokens are there.
	 */
	interface Listener {

		/**
		 * The tokens are reserved.
		 */
		void onTokensReserved();

		/**
		 * There are no tokens now.
		 * @param allowanceUsedUp whether the allowance does not cover the request
		 */
		void onTokensUnavailable(boolean allowanceUsedUp);

	}

}
