package io.verbenacleat.agent.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.core.platform.WeightsOutcome;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against further copies that use up the rate limit before each model has a first
 * copy, and against claims that prevent an agent from loading.
 */
@SuppressWarnings("NullAway.Init")
public class FirstCopyPolicyTests {

	private final List<String> requests = new ArrayList<>();

	private ManualControlThread control;

	private InMemoryTableStore table;

	@BeforeMethod
	public void start() {
		this.control = new ManualControlThread(Instant.EPOCH);
		this.table = new InMemoryTableStore();
		this.requests.clear();
	}

	@Test
	public void furtherCopyIsDelayedOnce() {
		requestPermit(policy("a"), "base");
		FirstCopyPolicy second = policy("b");
		assertEquals(requestPermit(second, "base"),
				new WeightsOutcome.RateLimited(FirstCopyPolicy.FURTHER_COPY_DELAY.toMillis()));
		requestPermit(policy("c"), "other");
		assertEquals(this.requests, List.of("a base", "c other"));
		requestPermit(second, "base");
		assertEquals(this.requests, List.of("a base", "c other", "b base"));
	}

	@Test
	public void claimerRetriesSoonAfterTheRetryAfter() {
		FirstCopyPolicy first = policy("a");
		requestPermit(first, "base");
		assertTrue(first.retryDelay("base", 60_000).compareTo(Duration.ofSeconds(61)) <= 0);
		FirstCopyPolicy second = policy("b");
		requestPermit(second, "base");
		assertEquals(second.retryDelay("base", 60_000), Duration.ofDays(1));
	}

	@Test
	public void requestsAPermitWithoutTheTableService() {
		this.table.setAvailable(false);
		requestPermit(policy("a"), "base");
		assertEquals(this.requests, List.of("a base"));
	}

	// Guards against the claim of an earlier restart that leaves a model without a first
	// copy.
	@Test
	public void claimOfAnEarlierRestartIsReplaced() {
		requestPermit(policy("a"), "base");
		this.control.advance(FirstCopyPolicy.CLAIM_LIFETIME);
		requestPermit(policy("b"), "base");
		assertEquals(this.requests, List.of("a base", "b base"));
	}

	private WeightsOutcome requestPermit(FirstCopyPolicy policy, String model) {
		CompletableFuture<WeightsOutcome> outcome = policy.requestPermit(model);
		this.control.runPending();
		return outcome.join();
	}

	private FirstCopyPolicy policy(String agent) {
		PermitPolicy furtherCopyPolicy = new PermitPolicy() {

			@Override
			public CompletableFuture<WeightsOutcome> requestPermit(String name) {
				FirstCopyPolicyTests.this.requests.add(agent + " " + name);
				return CompletableFuture.completedFuture(new WeightsOutcome.RateLimited(60_000));
			}

			@Override
			public Duration retryDelay(String name, long retryAfterMs) {
				return Duration.ofDays(1);
			}

		};
		return new FirstCopyPolicy("zone", agent, this.table, this.control, furtherCopyPolicy, new SplittableRandom(1));
	}

}
