package io.verbenacleat.entry.holder;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.rpc.Channels;
import io.verbenacleat.core.rpc.FleetSecret;
import io.verbenacleat.entry.budget.BudgetHolder;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReleaseRequest;
import io.verbenacleat.proto.v1.ReleaseResponse;
import io.verbenacleat.proto.v1.ReserveRequest;
import io.verbenacleat.proto.v1.ReserveResponse;
import io.verbenacleat.proto.v1.SettleRequest;
import io.verbenacleat.proto.v1.SettleResponse;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

/**
 * Guards against a shutdown that waits for receipts which a closed holder never
 * acknowledges.
 */
public class HolderOutboxTests {

	private static final String ADDRESS = "127.0.0.1:7000";

	@Test
	void receiptOfClosedHolderIsDroppedWithoutAcknowledgement() {
		Member self = new Member("entry-a", Member.Role.ENTRY, ADDRESS, "127.0.0.1", "region", "zone", "site", null, 0,
				0);
		try (ManualControlThread control = new ManualControlThread(Instant.EPOCH);
				Channels channels = new Channels(FleetSecret.of("a-secret-of-the-tests"))) {
			HolderDirectory directory = new HolderDirectory(self, new ClosedHolder(), channels, new Blackboard());
			HolderOutbox outbox = new HolderOutbox(directory, control);
			CompletableFuture<Void> acknowledged = outbox.settle(HolderAddress.of(self),
					Receipt.newBuilder().setRequestId("req-1").setHolderIncarnation("entry-a").build());
			control.advance(Duration.ofSeconds(2));
			assertEquals(outbox.unacknowledgedCount(), 0);
			assertFalse(acknowledged.isDone());
		}
	}

	/**
	 * A holder that responds to receipts that it is closed.
	 */
	private static final class ClosedHolder implements BudgetHolder {

		@Override
		public CompletableFuture<ReserveResponse> reserve(ReserveRequest request) {
			return CompletableFuture.completedFuture(ReserveResponse.getDefaultInstance());
		}

		@Override
		public CompletableFuture<SettleResponse> settle(SettleRequest request) {
			return CompletableFuture.completedFuture(SettleResponse.newBuilder().setHolderClosed(true).build());
		}

		@Override
		public CompletableFuture<ReleaseResponse> release(ReleaseRequest request) {
			return CompletableFuture.completedFuture(ReleaseResponse.getDefaultInstance());
		}

	}

}
