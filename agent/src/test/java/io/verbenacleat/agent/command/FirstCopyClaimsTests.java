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
 * Guards against further copies that take the rate from models without a server, and
 * against claims that keep an agent from loading.
 */
@SuppressWarnings("NullAway.Init")
public class FirstCopyClaimsTests {

	private final List<String> fetches = new ArrayList<>();

	private ManualControlThread control;

	private InMemoryTableStore table;

	@BeforeMethod
	public void start() {
		this.control = new ManualControlThread(Instant.EPOCH);
		this.table = new InMemoryTableStore();
		this.fetches.clear();
	}

	@Test
	public void furtherCopyGivesWayOnce() {
		fetch(claims("a"), "base");
		FirstCopyPolicy second = claims("b");
		assertEquals(fetch(second, "base"), new WeightsOutcome.RateLimited(FirstCopyPolicy.GIVE_WAY.toMillis()));
		fetch(claims("c"), "other");
		assertEquals(this.fetches, List.of("a base", "c other"));
		fetch(second, "base");
		assertEquals(this.fetches, List.of("a base", "c other", "b base"));
	}

	@Test
	public void claimerReturnsAsSoonAsTheStoreAllows() {
		FirstCopyPolicy first = claims("a");
		fetch(first, "base");
		assertTrue(first.retryDelay("base", 60_000).compareTo(Duration.ofSeconds(61)) <= 0);
		FirstCopyPolicy second = claims("b");
		fetch(second, "base");
		assertEquals(second.retryDelay("base", 60_000), Duration.ofDays(1));
	}

	@Test
	public void asksWithoutTheTableService() {
		this.table.setAvailable(false);
		fetch(claims("a"), "base");
		assertEquals(this.fetches, List.of("a base"));
	}

	// Guards against the claim of an earlier restart that leaves a model without a first
	// copy.
	@Test
	public void claimOfAnEarlierRestartIsReplaced() {
		fetch(claims("a"), "base");
		this.control.advance(FirstCopyPolicy.CLAIM_LIFETIME);
		fetch(claims("b"), "base");
		assertEquals(this.fetches, List.of("a base", "b base"));
	}

	private WeightsOutcome fetch(FirstCopyPolicy claims, String model) {
		CompletableFuture<WeightsOutcome> outcome = claims.requestPermit(model);
		this.control.runPending();
		return outcome.join();
	}

	private FirstCopyPolicy claims(String agent) {
		PermitPolicy others = new PermitPolicy() {

			@Override
			public CompletableFuture<WeightsOutcome> requestPermit(String name) {
				FirstCopyClaimsTests.this.fetches.add(agent + " " + name);
				return CompletableFuture.completedFuture(new WeightsOutcome.RateLimited(60_000));
			}

			@Override
			public Duration retryDelay(String name, long retryAfterMs) {
				return Duration.ofDays(1);
			}

		};
		return new FirstCopyPolicy("zone", agent, this.table, this.control, others, new SplittableRandom(1));
	}

}
