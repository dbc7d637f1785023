package io.verbenacleat.entry.budget;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

import io.verbenacleat.core.platform.PlatformUnavailableException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WriteOutcome;

/**
 * The connection of one process to a shared table store, with injected faults. Not safe
 * for use by several threads.
 */
final class FaultyTableStore implements TableStore {

	private final TableStore shared;

	private final Queue<Transaction> delayed = new ArrayDeque<>();

	private boolean available = true;

	private boolean silent;

	private int answersToLose;

	private int writesToDelay;

	private int writes;

	private Predicate<String> droppedConditions = (key) -> false;

	FaultyTableStore(TableStore shared) {
		this.shared = shared;
	}

	void setAvailable(boolean available) {
		this.available = available;
	}

	/**
	 * Sets whether reads and writes stay unanswered forever.
	 * @param silent whether they stay unanswered
	 */
	void setSilent(boolean silent) {
		this.silent = silent;
	}

	void loseNextAnswers(int count) {
		this.answersToLose = count;
	}

	/**
	 * Holds back the next writes until {@link #deliverDelayedWrites}; their outcome is
	 * reported as unknown.
	 * @param count the number of writes
	 */
	void delayNextWrites(int count) {
		this.writesToDelay = count;
	}

	/**
	 * Drops conditions on keys that the transaction does not write, to check that a test
	 * detects the missing condition.
	 * @param keys selects the keys
	 */
	void dropConditions(Predicate<String> keys) {
		this.droppedConditions = keys;
	}

	void deliverDelayedWrites() {
		while (!this.delayed.isEmpty()) {
			this.shared.transact(this.delayed.remove()).join();
		}
	}

	int writes() {
		return this.writes;
	}

	@Override
	public CompletableFuture<List<Row>> read(List<String> keys) {
		if (this.silent) {
			return new CompletableFuture<>();
		}
		return (this.available) ? this.shared.read(keys) : CompletableFuture.failedFuture(fault());
	}

	@Override
	public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
		return (this.available) ? this.shared.scan(prefix, after, limit) : CompletableFuture.failedFuture(fault());
	}

	@Override
	public CompletableFuture<WriteOutcome> transact(Transaction transaction) {
		if (this.silent) {
			return new CompletableFuture<>();
		}
		if (!this.available) {
			return CompletableFuture.completedFuture(new WriteOutcome.NotApplied(fault()));
		}
		this.writes++;
		Transaction sent = withoutDroppedConditions(transaction);
		if (this.writesToDelay > 0) {
			this.writesToDelay--;
			this.delayed.add(sent);
			return CompletableFuture.completedFuture(new WriteOutcome.Unknown(fault()));
		}
		CompletableFuture<WriteOutcome> outcome = this.shared.transact(sent);
		if (this.answersToLose > 0) {
			this.answersToLose--;
			return CompletableFuture.completedFuture(new WriteOutcome.Unknown(fault()));
		}
		return outcome;
	}

	private Transaction withoutDroppedConditions(Transaction transaction) {
		List<String> written = transaction.puts().stream().map(Transaction.Put::key).toList();
		return new Transaction(transaction.conditions()
			.stream()
			.filter((condition) -> written.contains(condition.key()) || !this.droppedConditions.test(condition.key()))
			.toList(), transaction.puts(), transaction.deletes());
	}

	private static PlatformUnavailableException fault() {
		return new PlatformUnavailableException("Fault injected by a test", null);
	}

}
