package io.verbenacleat.entry.budget;

import java.time.Clock;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.account.CallerAdmin;
import io.verbenacleat.core.head.HeadPoller;
import io.verbenacleat.core.platform.BlockingTableStore;
import io.verbenacleat.core.platform.DelayedTableStore;
import io.verbenacleat.entry.member.CallersController;
import io.verbenacleat.proto.v1.ReserveRefusal;
import io.verbenacleat.proto.v1.ReserveResponse;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against callers that continue to spend after their key was revoked. Time is that
 * of the manual control thread.
 */
public class RevocationTests {

	/** The time within which a change by an operator must take effect. */
	private static final long BOUND_MS = 3_000;

	private static final Duration SLOW_ANSWER = Duration.ofMillis(800);

	@Test
	public void aRevokedKeyIsRefusedWithinTheBound() throws Exception {
		for (int phase = 0; phase < 10; phase++) {
			TestEnvironment environment = new TestEnvironment();
			environment.addAccount("a", 10_000);
			TestEnvironment.Holder holder = environment.holder("h", new FixedGrantPolicy(5_000));
			DelayedTableStore slow = new DelayedTableStore(environment.store, holder.control, SLOW_ANSWER);
			HeadPoller poller = new HeadPoller(slow, holder.control, HeadPoller.ENTRY_INTERVAL);
			new CallersController(slow, holder.control, holder.ledger, poller);
			poller.start();
			assertTrue(reserve(holder, "first").getGranted());
			holder.advanceMs(100L * phase);
			new CallerAdmin(new BlockingTableStore(environment.store, Duration.ofSeconds(1)), Clock.systemUTC(),
					new Random(1))
				.revoke("a", "caller");
			holder.advanceMs(BOUND_MS);
			assertEquals(reserve(holder, "second").getRefusal(), ReserveRefusal.REVOKED_KEY, "phase " + phase);
		}
	}

	private static ReserveResponse reserve(TestEnvironment.Holder holder, String requestId) {
		CompletableFuture<ReserveResponse> response = holder.ledger
			.reserve(TestEnvironment.request(requestId, "a", 10));
		holder.advanceMs(10);
		return response.join();
	}

}
