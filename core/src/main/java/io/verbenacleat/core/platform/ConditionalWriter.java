package io.verbenacleat.core.platform;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.jspecify.annotations.Nullable;

/**
 * Repeats a conditional write after conflicts and lost answers, a bounded number of
 * times. Each try reads the rows anew, finds there whether an earlier try took effect,
 * and otherwise writes on the versions that it read. A delayed earlier try can then no
 * longer take effect, because both carry conditions on the same rows. Safe for use by
 * several threads; blocks the calling thread.
 */
public final class ConditionalWriter {

	private static final int MAX_ATTEMPTS = 32;

	/** Spreads writers that compete for the same row. */
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
	 * Writes until an attempt is known to have taken effect.
	 * @param <T> the type of the result
	 * @param <X> the type of the failures that an attempt finds
	 * @param attempt reads the rows and plans the write
	 * @return the result of the plan that took effect
	 * @throws X when the attempt fails
	 * @throws PlatformException when the store refuses, or when all tries ended in
	 * conflicts or without an answer
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
			if (outcome instanceof WriteOutcome.NotApplied refused && !answerLost) {
				throw refused.cause();
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
		LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(ThreadLocalRandom.current().nextLong(1, MAX_BACKOFF_MICROS)));
	}

	/**
	 * Reads the rows and plans one try.
	 *
	 * @param <T> the type of the result
	 * @param <X> the type of the failures
	 */
	@FunctionalInterface
	public interface Attempt<T, X extends Exception> {

		/**
		 * Plans one try.
		 * @param answerLost whether the answer of an earlier try was lost
		 * @return the plan
		 * @throws X when the write is not allowed
		 * @throws PlatformException when the rows cannot be read
		 */
		Plan<T> plan(boolean answerLost) throws X, PlatformException;

	}

	/**
	 * What to write and the result if it takes effect. Immutable.
	 *
	 * @param <T> the type of the result
	 * @param transaction the write, or {@code null} when nothing is left to write
	 * @param result the result
	 */
	public record Plan<T>(@Nullable Transaction transaction, T result) {
	}

}
