package io.verbenacleat.standins;

import java.time.Duration;
import java.util.SplittableRandom;

import org.jspecify.annotations.Nullable;

/**
 * The faults of the platform stand-in, switched at run time. Safe for use by several
 * threads.
 */
public final class PlatformFaults {

	private boolean available = true;

	private long answerDelayMs;

	private double refusalProbability;

	private SplittableRandom random = new SplittableRandom(0);

	private int answersToLose;

	private int transactionsToDelay;

	private long transactionDelayMs;

	PlatformFaults() {
	}

	/**
	 * Makes the platform take or refuse all requests.
	 * @param newAvailable {@code false} to refuse
	 */
	public synchronized void setAvailable(boolean newAvailable) {
		this.available = newAvailable;
	}

	/**
	 * Delays every answer; effects are not delayed.
	 * @param newDelayMs the delay in milliseconds, zero or more
	 */
	public synchronized void setDelayMs(long newDelayMs) {
		this.answerDelayMs = requireNotNegative("delayMs", newDelayMs);
	}

	/**
	 * Refuses requests at random.
	 * @param probability the probability, 0 to 1
	 * @param seed the seed of the random numbers
	 */
	public synchronized void setRefusalProbability(double probability, long seed) {
		if (!(probability >= 0 && probability <= 1)) {
			throw new IllegalArgumentException("refusalProbability: found " + probability + ", allowed is 0 to 1");
		}
		this.refusalProbability = probability;
		this.random = new SplittableRandom(seed);
	}

	/**
	 * Sends no answer to the next transactions that are applied.
	 * @param count how many, zero or more
	 */
	public synchronized void loseNextAnswers(int count) {
		this.answersToLose = (int) requireNotNegative("loseAnswers", count);
	}

	/**
	 * Applies the next transactions late and sends no answer to them.
	 * @param count how many, zero or more
	 * @param byMs the delay in milliseconds, zero or more
	 */
	public synchronized void delayNextTransactions(int count, long byMs) {
		this.transactionsToDelay = (int) requireNotNegative("lateTransactions", count);
		this.transactionDelayMs = requireNotNegative("lateByMs", byMs);
	}

	/**
	 * Applies a change that came over HTTP; members that are absent change nothing.
	 * @param change the change
	 */
	synchronized void apply(Change change) {
		if (change.available() != null) {
			setAvailable(change.available());
		}
		if (change.delayMs() != null) {
			setDelayMs(change.delayMs());
		}
		if (change.refusalProbability() != null) {
			setRefusalProbability(change.refusalProbability(), (change.seed() != null) ? change.seed() : 0);
		}
		if (change.loseAnswers() != null) {
			loseNextAnswers(change.loseAnswers());
		}
		if (change.lateTransactions() != null) {
			delayNextTransactions(change.lateTransactions(), (change.lateByMs() != null) ? change.lateByMs() : 0);
		}
	}

	/**
	 * Returns how long the next answer is delayed.
	 * @return the delay
	 */
	synchronized Duration answerDelay() {
		return Duration.ofMillis(this.answerDelayMs);
	}

	/**
	 * Decides whether the next request is refused.
	 * @return {@code true} to refuse
	 */
	synchronized boolean shouldRefuse() {
		if (!this.available) {
			return true;
		}
		return this.refusalProbability > 0 && this.random.nextDouble() < this.refusalProbability;
	}

	/**
	 * Decides whether the answer to an applied transaction is lost.
	 * @return {@code true} to send none
	 */
	synchronized boolean takeLostAnswer() {
		if (this.answersToLose == 0) {
			return false;
		}
		this.answersToLose--;
		return true;
	}

	/**
	 * Decides whether the next transaction is applied late.
	 * @return the delay, or {@code null} to apply it at once
	 */
	synchronized @Nullable Duration takeTransactionDelay() {
		if (this.transactionsToDelay == 0) {
			return null;
		}
		this.transactionsToDelay--;
		return Duration.ofMillis(this.transactionDelayMs);
	}

	private static long requireNotNegative(String name, long value) {
		if (value < 0) {
			throw new IllegalArgumentException(name + ": found " + value + ", allowed is zero or more");
		}
		return value;
	}

	/**
	 * A change over HTTP. Immutable; a member that is {@code null} changes nothing.
	 *
	 * @param available whether requests are taken
	 * @param delayMs the delay of every answer
	 * @param refusalProbability the probability of a refusal
	 * @param seed the seed of refusals, 0 when absent
	 * @param loseAnswers how many answers to applied transactions to lose
	 * @param lateTransactions how many transactions to apply late, without an answer
	 * @param lateByMs how late
	 */
	record Change(@Nullable Boolean available, @Nullable Long delayMs, @Nullable Double refusalProbability,
			@Nullable Long seed, @Nullable Integer loseAnswers, @Nullable Integer lateTransactions,
			@Nullable Long lateByMs) {
	}

}
