package io.verbenacleat.standins;

import java.time.Duration;
import java.util.SplittableRandom;

import org.jspecify.annotations.Nullable;

/**
 * Faults of the platform stand-in that tests switch at run time: refusals, delays, lost
 * answers and delayed transactions. Safe for use by several threads.
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
	 * Sets whether the platform is available.
	 * @param newAvailable {@code false} to refuse all requests
	 */
	public synchronized void setAvailable(boolean newAvailable) {
		this.available = newAvailable;
	}

	/**
	 * Sets the delay of every answer. Requests are executed without this delay.
	 * @param newDelayMs the delay in milliseconds, zero or more
	 */
	public synchronized void setDelayMs(long newDelayMs) {
		this.answerDelayMs = requireNotNegative("delayMs", newDelayMs);
	}

	/**
	 * Refuses requests at random.
	 * @param probability the probability of a refusal, 0 to 1
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
	 * Applies the next transactions without sending their answers. Conflicts and delayed
	 * transactions do not count.
	 * @param count the number of transactions, zero or more
	 */
	public synchronized void loseNextAnswers(int count) {
		this.answersToLose = (int) requireNotNegative("loseAnswers", count);
	}

	/**
	 * Delays the next transactions and sends no answer to them.
	 * @param count the number of transactions, zero or more
	 * @param byMs the delay in milliseconds, zero or more
	 */
	public synchronized void delayNextTransactions(int count, long byMs) {
		this.transactionsToDelay = (int) requireNotNegative("lateTransactions", count);
		this.transactionDelayMs = requireNotNegative("lateByMs", byMs);
	}

	/**
	 * Applies a change of the faults.
	 * @param change the change; components that are {@code null} change nothing
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
	 * Returns the delay of answers.
	 * @return the delay, zero or more
	 */
	synchronized Duration answerDelay() {
		return Duration.ofMillis(this.answerDelayMs);
	}

	/**
	 * Decides whether to refuse a request. Draws a random number when refusals are
	 * random.
	 * @return {@code true} to refuse
	 */
	synchronized boolean shouldRefuse() {
		if (!this.available) {
			return true;
		}
		return this.refusalProbability > 0 && this.random.nextDouble() < this.refusalProbability;
	}

	/**
	 * Decides whether the answer to an applied transaction is lost. Each lost answer is
	 * counted.
	 * @return {@code true} to send no answer
	 */
	synchronized boolean takeLostAnswer() {
		if (this.answersToLose == 0) {
			return false;
		}
		this.answersToLose--;
		return true;
	}

	/**
	 * Decides whether a transaction is delayed. Each delayed transaction is counted.
	 * @return the delay, or {@code null} to apply the transaction at once
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
	 * Body of {@code POST /standin/faults}. Components that are {@code null} change
	 * nothing. Immutable.
	 *
	 * @param available {@code false} to refuse all requests
	 * @param delayMs the delay of every answer, in milliseconds
	 * @param refusalProbability the probability of a refusal, 0 to 1
	 * @param seed the seed of random refusals, 0 when absent; read only together with
	 * {@code refusalProbability}
	 * @param loseAnswers the number of applied transactions that get no answer
	 * @param lateTransactions the number of transactions that are delayed and get no
	 * answer
	 * @param lateByMs the delay of these transactions in milliseconds, 0 when absent;
	 * read only together with {@code lateTransactions}
	 */
	record Change(@Nullable Boolean available, @Nullable Long delayMs, @Nullable Double refusalProbability,
			@Nullable Long seed, @Nullable Integer loseAnswers, @Nullable Integer lateTransactions,
			@Nullable Long lateByMs) {
	}

}
