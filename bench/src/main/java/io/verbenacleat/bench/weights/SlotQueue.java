package io.verbenacleat.bench.weights;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.agent.command.PermitPolicy;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WeightStore;
import io.verbenacleat.core.platform.WeightsOutcome;
import io.verbenacleat.core.platform.WriteOutcome;

/**
 * Schedules fetches at the rate limit of the weight store, with a queue in one row of the
 * table service. An agent adds itself to the row, waits for its turn, and removes itself
 * when it fetches from the store. In one variant, the first copy of a model is queued
 * before further copies. Not safe for use by several threads.
 */
final class SlotQueue implements PermitPolicy {

	private static final String KEY = "weights-slots";

	/**
	 * Without a random backoff, agents that start at the same time conflict repeatedly.
	 */
	private static final long MAX_CONFLICT_BACKOFF_MS = 500;

	private final String agent;

	private final boolean firstCopiesFirst;

	private final long intervalMs;

	private final ManualControlThread control;

	private final TableStore store;

	private final WeightStore weights;

	private final SplittableRandom random;

	SlotQueue(String agent, boolean firstCopiesFirst, int perMinute, ManualControlThread control, TableStore store,
			WeightStore weights, SplittableRandom random) {
		this.agent = agent;
		this.firstCopiesFirst = firstCopiesFirst;
		this.intervalMs = 60_000 / perMinute;
		this.control = control;
		this.store = store;
		this.weights = weights;
		this.random = random;
	}

	@Override
	public CompletableFuture<WeightsOutcome> requestPermit(String name) {
		return this.store.read(KEY).thenCompose((row) -> fetchOrWait(name, row));
	}

	@Override
	public Duration retryDelay(String name, long retryAfterMs) {
		return Duration.ofMillis(retryAfterMs);
	}

	private CompletableFuture<WeightsOutcome> fetchOrWait(String name, Row row) {
		Slots slots = slots(row);
		int position = slots.position(this.agent);
		if (position < 0) {
			Slots enqueued = slots.enqueue(new Waiting(this.agent, name), this.firstCopiesFirst);
			return write(row, enqueued, () -> waitForSlot(enqueued, enqueued.position(this.agent)));
		}
		long nowMs = this.control.clock().millis();
		if (nowMs < slots.nextAtMs() + position * this.intervalMs) {
			return waitForSlot(slots, position);
		}
		return write(row, slots.remove(position, Math.max(nowMs, slots.nextAtMs()) + this.intervalMs),
				() -> this.weights.fetch(name));
	}

	private CompletableFuture<WeightsOutcome> waitForSlot(Slots slots, int position) {
		long waitMs = slots.nextAtMs() + position * this.intervalMs - this.control.clock().millis();
		return CompletableFuture.completedFuture(new WeightsOutcome.RateLimited(Math.max(1, waitMs)));
	}

	private CompletableFuture<WeightsOutcome> write(Row row, Slots slots, NextStep next) {
		Transaction transaction = Transaction.builder().putIf(KEY, row.version(), Json.write(slots)).build();
		return this.store.transact(transaction)
			.thenCompose((outcome) -> (outcome instanceof WriteOutcome.Applied) ? next.run() : CompletableFuture
				.completedFuture(new WeightsOutcome.RateLimited(1 + this.random.nextLong(MAX_CONFLICT_BACKOFF_MS))));
	}

	private Slots slots(Row row) {
		try {
			return (row.version() > 0) ? Json.read(row.json(), Slots.class)
					: new Slots(this.control.clock().millis(), List.of(), List.of());
		}
		catch (JsonFormatException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@FunctionalInterface
	private interface NextStep {

		CompletableFuture<WeightsOutcome> run();

	}

	/**
	 * The content of the row. Immutable.
	 *
	 * @param nextAtMs when the first waiting agent may fetch, in milliseconds since the
	 * epoch
	 * @param waiting the waiting agents in order of their turn
	 * @param models the models whose first copy was queued; empty unless first copies
	 * precede
	 */
	record Slots(long nextAtMs, List<Waiting> waiting, List<String> models) {

		private int position(String agent) {
			return this.waiting.stream().map(Waiting::agent).toList().indexOf(agent);
		}

		private Slots enqueue(Waiting newcomer, boolean firstCopiesFirst) {
			boolean firstCopy = firstCopiesFirst && !this.models.contains(newcomer.model());
			List<Waiting> next = new ArrayList<>(this.waiting);
			List<String> seenModels = new ArrayList<>(this.models);
			if (firstCopy) {
				seenModels.add(newcomer.model());
			}
			next.add((firstCopy) ? 0 : next.size(), newcomer);
			return new Slots(this.nextAtMs, next, seenModels);
		}

		private Slots remove(int position, long newNextAtMs) {
			List<Waiting> next = new ArrayList<>(this.waiting);
			next.remove(position);
			return new Slots(newNextAtMs, next, this.models);
		}

	}

	/**
	 * A waiting agent. Immutable.
	 *
	 * @param agent the name of the agent
	 * @param model the model that it loads
	 */
	record Waiting(String agent, String model) {
	}

}
