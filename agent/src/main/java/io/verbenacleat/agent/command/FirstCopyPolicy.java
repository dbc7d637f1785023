package io.verbenacleat.agent.command;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WeightsOutcome;
import io.verbenacleat.core.platform.WriteOutcome;

/**
 * Prioritizes the first copy of each model in an availability zone over further copies.
 * The agent that claims the row of the model requests a permit at once and, after a
 * refusal, retries as soon as the store allows. The other agents wait for
 * {@link #FURTHER_COPY_DELAY} once and then follow their own policy. A claim is advisory:
 * the other agents proceed even if the claimer is lost, and without the table service
 * every agent proceeds like a claimer. Must be used on the control thread.
 */
public final class FirstCopyPolicy implements PermitPolicy {

	/**
	 * The delay of further copies, longer than the differences between the start times of
	 * agents after a restart of a zone.
	 */
	static final Duration FURTHER_COPY_DELAY = Duration.ofSeconds(6);

	/**
	 * The time after which a claim is ignored, since it is from an earlier restart of the
	 * zone.
	 */
	static final Duration CLAIM_LIFETIME = Duration.ofMinutes(15);

	/**
	 * The bound of the jitter between claimers, which are few and use no other jitter.
	 */
	private static final long CLAIMER_JITTER_MS = 1_000;

	private static final String KEY_PREFIX = "weights/";

	private final String zone;

	private final String agent;

	private final TableStore store;

	private final ControlThread control;

	private final PermitPolicy furtherCopyPolicy;

	private final SplittableRandom random;

	/**
	 * Whether this agent claimed the first copy, by model or adapter; {@code false} while
	 * the claim is in progress.
	 */
	private final Map<String, Boolean> claimedByName = new HashMap<>();

	/**
	 * Creates a policy.
	 * @param zone the availability zone of the agent
	 * @param agent the incarnation of the agent
	 * @param store the table store
	 * @param control the control thread, whose clock is used for the times of claims
	 * @param furtherCopyPolicy the policy of agents that load further copies
	 * @param random the random source of the jitter
	 */
	public FirstCopyPolicy(String zone, String agent, TableStore store, ControlThread control,
			PermitPolicy furtherCopyPolicy, SplittableRandom random) {
		this.zone = zone;
		this.agent = agent;
		this.store = store;
		this.control = control;
		this.furtherCopyPolicy = furtherCopyPolicy;
		this.random = random;
	}

	@Override
	public CompletableFuture<WeightsOutcome> requestPermit(String name) {
		if (this.claimedByName.containsKey(name)) {
			return this.furtherCopyPolicy.requestPermit(name);
		}
		this.claimedByName.put(name, false);
		String key = KEY_PREFIX + this.zone + "/" + name;
		return this.store.read(key)
			.thenCompose((row) -> claim(key, row))
			.exceptionally((failure) -> true)
			.thenComposeAsync((claimed) -> {
				this.claimedByName.put(name, claimed);
				return (claimed) ? this.furtherCopyPolicy.requestPermit(name) : CompletableFuture
					.completedFuture(new WeightsOutcome.RateLimited(FURTHER_COPY_DELAY.toMillis()));
			}, this.control);
	}

	@Override
	public Duration retryDelay(String name, long retryAfterMs) {
		if (this.claimedByName.getOrDefault(name, false)) {
			return Duration.ofMillis(retryAfterMs + this.random.nextLong(CLAIMER_JITTER_MS));
		}
		return this.furtherCopyPolicy.retryDelay(name, retryAfterMs);
	}

	private CompletableFuture<Boolean> claim(String key, Row row) {
		long nowMs = this.control.clock().millis();
		if (isClaimActive(row, nowMs)) {
			return CompletableFuture.completedFuture(false);
		}
		Transaction transaction = Transaction.builder()
			.putIf(key, row.version(), Json.write(new Claim(this.agent, nowMs)))
			.build();
		return this.store.transact(transaction).thenApply((outcome) -> !(outcome instanceof WriteOutcome.Conflict));
	}

	private static boolean isClaimActive(Row row, long nowMs) {
		if (row.version() == 0) {
			return false;
		}
		try {
			long ageMs = nowMs - Json.read(row.json(), Claim.class).claimedAtMs();
			return Math.abs(ageMs) < CLAIM_LIFETIME.toMillis();
		}
		catch (JsonFormatException ex) {
			return false;
		}
	}

	/**
	 * The content of the row {@code weights/<zone>/<model>}. Immutable.
	 *
	 * @param agent the agent that loads the first copy
	 * @param claimedAtMs the time of the claim, in milliseconds since the epoch
	 */
	record Claim(String agent, long claimedAtMs) {
	}

}
