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
 * One process's way to a shared table store, with faults to order. Not safe for use by
 * several threads.
 */
final class FaultyTableStore implements TableStore {

	private final TableStore shared;

	private final Queue<Transaction> late = new ArrayDeque<>();

	private boolean available = true;

	private boolean silent;

	private int answersToLose;

	private int writesToDelay;

	private int writes;

	private Predicate<String> withoutCondition = (key) -> false;

	FaultyTableStore(TableStore shared) {
		this.shared = shared;
	}

	void setAvailable(boolean available) {
		this.available = available;
	}

	/**
	 * Makes calls go unanswered for ever.
	 * @param silent whether calls go unanswered
	 */
	void setSilent(boolean silent) {
		this.silent = silent;
	}

	void loseNextAnswers(int count) {
		this.answersToLose = count;
	}

	/**
	 * Keeps the next writes back until {@link #deliverLate}; their outcome is unknown.
	 * @param count how many
	 */
	void delayNextWrites(int count) {
		this.writesToDelay = count;
	}

	/**
	 * Drops conditions that are no writes, to show that a test notices.
	 * @param keys which keys
	 */
	void dropConditions(Predicate<String> keys) {
		this.withoutCondition = keys;
	}

	void deliverLate() {
		while (!this.late.isEmpty()) {
			this.shared.transact(this.late.remove()).join();
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
		return (this.available) ? this.shared.read(keys) : CompletableFuture.failedFuture(lost());
	}

	@Override
	public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
		return (this.available) ? this.shared.scan(prefix, after, limit) : CompletableFuture.failedFuture(lost());
	}

	@Override
	public CompletableFuture<WriteOutcome> transact(Transaction transaction) {
		if (this.silent) {
			return new CompletableFuture<>();
		}
		if (!this.available) {
			return CompletableFuture.completedFuture(new WriteOutcome.NotApplied(lost()));
		}
		this.writes++;
		Transaction sent = weakened(transaction);
		if (this.writesToDelay > 0) {
			this.writesToDelay--;
			this.late.add(sent);
			return CompletableFuture.completedFuture(new WriteOutcome.Unknown(lost()));
		}
		CompletableFuture<WriteOutcome> outcome = this.shared.transact(sent);
		if (this.answersToLose > 0) {
			this.answersToLose--;
			return CompletableFuture.completedFuture(new WriteOutcome.Unknown(lost()));
		}
		return outcome;
	}

	private Transaction weakened(Transaction transaction) {
		List<String> written = transaction.puts().stream().map(Transaction.Put::key).toList();
		return new Transaction(transaction.conditions()
			.stream()
			.filter((condition) -> written.contains(condition.key()) || !this.withoutCondition.test(condition.key()))
			.toList(), transaction.puts(), transaction.deletes());
	}

	private static PlatformUnavailableException lost() {
		return new PlatformUnavailableException("Fault ordered by a test", null);
	}

}
