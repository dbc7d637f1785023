package io.verbenacleat.itest.office;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.verbenacleat.core.platform.PlatformUnavailableException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WriteOutcome;

/**
 * A view of a shared table store for one process, into which a test injects faults.
 * Thread-safe.
 */
final class FaultyTableStore implements TableStore {

	private final TableStore shared;

	private final SplittableRandom random;

	private boolean available = true;

	private double lostProbability;

	private double lateProbability;

	private Duration delay = Duration.ZERO;

	private int lostAnswers;

	private Predicate<String> unconditionalKeys = (key) -> false;

	/**
	 * Creates a view without faults.
	 * @param shared the shared table store
	 * @param seed the seed of all random choices
	 */
	FaultyTableStore(TableStore shared, long seed) {
		this.shared = shared;
		this.random = new SplittableRandom(seed);
	}

	/**
	 * Sets whether the table store can be reached.
	 * @param newAvailable {@code false} to fail all calls without effect
	 */
	synchronized void setAvailable(boolean newAvailable) {
		this.available = newAvailable;
	}

	/**
	 * Sets faults of writes. A write with a lost answer is applied and reported as
	 * unknown; a late write is reported as unknown and applied 300 ms later.
	 * @param newLostProbability the probability of a lost answer, 0 to 1
	 * @param newLateProbability the probability of a late write, 0 to 1
	 */
	synchronized void setWriteFaults(double newLostProbability, double newLateProbability) {
		this.lostProbability = newLostProbability;
		this.lateProbability = newLateProbability;
	}

	/**
	 * Sets the delay of answers.
	 * @param newDelay the delay
	 */
	synchronized void setDelay(Duration newDelay) {
		this.delay = newDelay;
	}

	/**
	 * Drops the conditions of writes, to show in a trial that a check detects the
	 * violation.
	 * @param keys matches the keys whose conditions are dropped
	 */
	synchronized void dropConditions(Predicate<String> keys) {
		this.unconditionalKeys = keys;
	}

	/**
	 * Returns the number of lost answers.
	 * @return the number of answers
	 */
	synchronized int lostAnswers() {
		return this.lostAnswers;
	}

	@Override
	public CompletableFuture<List<Row>> read(List<String> keys) {
		return delayed((isAvailable()) ? this.shared.read(keys) : CompletableFuture.failedFuture(injectedFault()));
	}

	@Override
	public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
		return delayed((isAvailable()) ? this.shared.scan(prefix, after, limit)
				: CompletableFuture.failedFuture(injectedFault()));
	}

	@Override
	public CompletableFuture<WriteOutcome> transact(Transaction transaction) {
		if (!isAvailable()) {
			return delayed(CompletableFuture.completedFuture(new WriteOutcome.NotApplied(injectedFault())));
		}
		Transaction sent = withoutDroppedConditions(transaction);
		if (nextBoolean(this.lateProbability)) {
			CompletableFuture.delayedExecutor(300, TimeUnit.MILLISECONDS).execute(() -> this.shared.transact(sent));
			return CompletableFuture.completedFuture(new WriteOutcome.Unknown(injectedFault()));
		}
		CompletableFuture<WriteOutcome> outcome = this.shared.transact(sent);
		return delayed((nextBoolean(this.lostProbability)) ? outcome.thenApply(this::loseAnswer) : outcome);
	}

	private synchronized WriteOutcome loseAnswer(WriteOutcome outcome) {
		this.lostAnswers++;
		return new WriteOutcome.Unknown(injectedFault());
	}

	private synchronized boolean isAvailable() {
		return this.available;
	}

	private synchronized boolean nextBoolean(double probability) {
		return probability > 0 && this.random.nextDouble() < probability;
	}

	private synchronized Transaction withoutDroppedConditions(Transaction transaction) {
		return new Transaction(transaction.conditions()
			.stream()
			.filter((condition) -> !this.unconditionalKeys.test(condition.key()))
			.toList(), transaction.puts(), transaction.deletes());
	}

	private synchronized <T> CompletableFuture<T> delayed(CompletableFuture<T> future) {
		if (this.delay.isZero()) {
			return future;
		}
		Executor executor = CompletableFuture.delayedExecutor(this.delay.toMillis(), TimeUnit.MILLISECONDS);
		return future.handleAsync((value, failure) -> future, executor).thenCompose((same) -> same);
	}

	private static PlatformUnavailableException injectedFault() {
		return new PlatformUnavailableException("Fault injected by a test", null);
	}

}
