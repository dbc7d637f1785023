package io.verbenacleat.router.relay;

import io.verbenacleat.router.budget.PrepaidLedger;
import io.verbenacleat.router.budget.Wallet;

/**
 * Reserves the prepaid tokens of one request before it is sent, and bills the used ones
 * once when the request has ended. Confined to the event loop of the relay, except
 * {@link #granted} and {@link #refused}, which any thread may call.
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
	 * Reserves the tokens, or waits for them if the wallet has too few. The listener is
	 * called during this call or later.
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
	 * Returns whether the request is waiting for tokens.
	 * @return {@code true} between {@link #reserve} and the call of the listener
	 */
	boolean isWaiting() {
		return this.waiting;
	}

	/**
	 * Returns the tokens of the workspace at this router, for logs.
	 * @return the tokens by name
	 */
	Wallet.Balance balance() {
		return this.wallet.balance();
	}

	/**
	 * Bills the used tokens, or cancels the wait for tokens. Later calls do nothing.
	 * @param mayHaveRun whether a backend server may have run the request
	 * @param deliveredTokens the output tokens that were sent to the caller
	 * @return the billed tokens, 0 when the request did not run or was settled before
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
	 * Receives the outcome of the reservation on the event loop.
	 */
	interface Listener {

		/**
		 * Called when the tokens are reserved.
		 */
		void onTokensReserved();

		/**
		 * Called when the tokens cannot be reserved now.
		 * @param allowanceUsedUp whether the allowance does not cover the request at all
		 */
		void onTokensUnavailable(boolean allowanceUsedUp);

	}

}
