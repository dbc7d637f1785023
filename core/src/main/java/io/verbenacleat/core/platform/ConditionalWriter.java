package io.verbenacleat.core.platform;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.jspecify.annotations.Nullable;

/**
 * Retries a conditional write after conflicts and lost responses, up to a maximum number
 * of attempts. Each attempt reads the rows again to find out whether an earlier attempt
 * took effect, and otherwise writes on condition that the rows still have the versions
 * that it read. Once it succeeds, a delayed earlier attempt can no longer take effect,
 * because both have conditions on the same rows. Safe for use by several threads; blocks
 * the calling thread.
 */
public final class ConditionalWriter {

	private static final int MAX_ATTEMPTS = 32;

	/**
	 * Upper bound of the random backoff, which separates writers that compete for a row.
	 */
	private static final long MAX_BACKOFF_MICROS = 2_000;

	private final BlockingTableStore store;

	/**
	 * Creates a writer.
	 * @param store the store
	 */
	public ConditionalWriter(BlockingTableStore store) {
		this.store = store;
	}

	/**
	 * Retries until an attempt is known to have taken effect.
	 * @param <T> the type of the result
	 * @param <X> the type of exception that an attempt may throw
	 * @param attempt reads the rows and plans the write, called once per attempt
	 * @return the result of the plan that took effect
	 * @throws X if the attempt throws it
	 * @throws PlatformException if the store rejects the write, if reading fails, or if
	 * all attempts ended in conflicts or without a response
	 */
	public <T, X extends Exception> T write(Attempt<T, X> attempt) throws X, PlatformException {
		boolean answerLost = false;
		PlatformException lastFailure = null;
		for (int attempts = 0; attempts < MAX_ATTEMPTS; attempts++) {
			Plan<T> plan = plan(attempt, answerLost);
			Transaction transaction = plan.transaction();
			if (transaction == null) {
				return plan.result();
			}
			WriteOutcome outcome = this.store.transact(transaction);
			if (outcome instanceof WriteOutcome.Applied) {
				return plan.result();
			}
			if (outcome instanceof WriteOutcome.NotApplied notApplied && !answerLost) {
				throw notApplied.cause();
			}
			if (outcome instanceof WriteOutcome.Unknown unknown) {
				answerLost = true;
				lastFailure = unknown.cause();
			}
			backOff();
		}
		throw new PlatformUnavailableException("The write "
				+ (answerLost ? "has an unknown outcome" : "was not applied") + " after " + MAX_ATTEMPTS + " tries",
				lastFailure);
	}

	private static <T, X extends Exception> Plan<T> plan(Attempt<T, X> attempt, boolean answerLost)
			throws X, PlatformException {
		try {
			return attempt.plan(answerLost);
		}
		catch (PlatformUnavailableException ex) {
			if (!answerLost) {
				throw ex;
			}
			throw new PlatformUnavailableException(
					"The write has an unknown outcome, it could not be read back: " + ex.getMessage(), ex);
		}
	}

	private static void backOff() {
		LockSupport
			.parkNanos(TimeUnit.MICROSECONDS.toNanos(ThreadLocalRandom.current().nextLong(1, MAX_BACKOFF_MICROS)));
	}

	/**
	 * Reads the rows and plans one attempt.
	 *
	 * @param <T> the type of the result
	 * @param <X> the type of exception that it may throw
	 */
	@FunctionalInterface
	public interface Attempt<T, X extends Exception> {

		/**
		 * Reads the rows and plans one attempt.
		 * @param answerLost whether the response to an earlier attempt was lost, so that
		 * it may have taken effect
		 * @return the plan
		 * @throws X if the write is not allowed
		 * @throws PlatformException if the rows cannot be read
		 */
		Plan<T> plan(boolean answerLost) throws X, PlatformException;

	}

	/**
	 * A write and the result to return if it takes effect. Immutable if the result is.
	 *
	 * @param <T> the type of the result
	 * @param transaction the write, or {@code null} if nothing is left to write
	 * @param result the result
	 */
	public record Plan<T>(@Nullable Transaction transaction, T result) {
	}

}
