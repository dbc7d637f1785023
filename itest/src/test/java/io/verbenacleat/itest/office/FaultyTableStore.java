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
 * The way of one process to a shared table store, with faults to order. Safe for use by
 * several threads.
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

	FaultyTableStore(TableStore shared, long seed) {
		this.shared = shared;
		this.random = new SplittableRandom(seed);
	}

	synchronized void setAvailable(boolean newAvailable) {
		this.available = newAvailable;
	}

	/**
	 * Loses answers to writes that took effect, and applies others only later.
	 * @param newLostProbability the probability of a lost answer
	 * @param newLateProbability the probability of a write that takes effect 300 ms later
	 */
	synchronized void setWriteFaults(double newLostProbability, double newLateProbability) {
		this.lostProbability = newLostProbability;
		this.lateProbability = newLateProbability;
	}

	synchronized void setDelay(Duration newDelay) {
		this.delay = newDelay;
	}

	/**
	 * Drops conditions, for trials that show that a check can fail.
	 * @param keys which keys
	 */
	synchronized void dropConditions(Predicate<String> keys) {
		this.unconditionalKeys = keys;
	}

	synchronized int lostAnswers() {
		return this.lostAnswers;
	}

	@Override
	public CompletableFuture<List<Row>> read(List<String> keys) {
		return delayed((isAvailable()) ? this.shared.read(keys) : CompletableFuture.failedFuture(injectedFault()));
	}

	@Override
	public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
		return delayed(
				(isAvailable()) ? this.shared.scan(prefix, after, limit) : CompletableFuture.failedFuture(injectedFault()));
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
		Executor delayedExecutor = CompletableFuture.delayedExecutor(this.delay.toMillis(), TimeUnit.MILLISECONDS);
		return future.handleAsync((value, failure) -> future, delayedExecutor).thenCompose((same) -> same);
	}

	private static PlatformUnavailableException injectedFault() {
		return new PlatformUnavailableException("Fault ordered by a test", null);
	}

}
