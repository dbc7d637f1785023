package io.verbenacleat.router.server;

import java.time.Duration;

import io.verbenacleat.core.control.Cancellable;
import org.jspecify.annotations.Nullable;

/**
 * A registration that is not in force yet, because it may be a late write of a server
 * that has left. Confined to the control thread.
 */
final class HeldRegistration {

	/**
	 * Renewals that show that the server runs. That many are not late one after the
	 * other.
	 */
	private static final int CONFIRMING_RENEWALS = 3;

	private final long heldSinceNanos;

	private BackendServer server;

	private int renewals;

	private boolean due;

	private @Nullable Cancellable timer;

	HeldRegistration(BackendServer server, long nowNanos) {
		this.server = server;
		this.heldSinceNanos = nowNanos;
	}

	BackendServer server() {
		return this.server;
	}

	/**
	 * Replaces the registration with a later one.
	 * @param registered a registration of the same incarnation
	 * @return {@code false} if it is no later one, as in a full read
	 */
	boolean renew(BackendServer registered) {
		if (!RegistrationHistory.isNewer(registered, this.server)) {
			return false;
		}
		this.server = registered;
		this.renewals++;
		return true;
	}

	/**
	 * Returns whether renewals show that the server runs.
	 * @param time how long it has to be registered
	 * @param nowNanos the steady time
	 * @return {@code true} if enough were received
	 */
	boolean isConfirmed(Duration time, long nowNanos) {
		return this.renewals >= CONFIRMING_RENEWALS && nowNanos - this.heldSinceNanos >= time.toNanos();
	}

	/**
	 * Sets the timer after which the registration is due, in place of an earlier one.
	 * @param newTimer the timer
	 */
	void startTimer(Cancellable newTimer) {
		cancel();
		this.timer = newTimer;
	}

	void setDue() {
		this.due = true;
	}

	/**
	 * Returns whether the next response of the registry confirms the registration, if it
	 * is still registered.
	 * @return {@code true} after the timer
	 */
	boolean isDue() {
		return this.due;
	}

	void cancel() {
		this.due = false;
		Cancellable running = this.timer;
		if (running != null) {
			running.cancel();
		}
	}

}
