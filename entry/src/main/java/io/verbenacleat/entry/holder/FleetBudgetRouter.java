package io.verbenacleat.entry.holder;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.rpc.Channels;
import io.verbenacleat.entry.budget.BudgetHolder;
import io.verbenacleat.entry.budget.BudgetRouter;
import io.verbenacleat.entry.budget.HolderUnreachableException;
import io.verbenacleat.entry.budget.RoutedReservation;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReserveRequest;

/**
 * The {@link BudgetRouter} of an entry, which sends requests and receipts to the budget
 * holders of the fleet. Safe for use by several threads.
 */
public final class FleetBudgetRouter implements BudgetRouter {

	private static final Duration SETTLE_TIMEOUT = Duration.ofSeconds(1);

	private final HolderDirectory directory;

	private final HolderOutbox outbox;

	/**
	 * Creates a router.
	 * @param self this entry
	 * @param local the holder of this process
	 * @param channels the gRPC channels to the fleet
	 * @param blackboard the blackboard of the entry
	 * @param control the control thread
	 */
	public FleetBudgetRouter(Member self, BudgetHolder local, Channels channels, Blackboard blackboard,
			ControlThread control) {
		this.directory = new HolderDirectory(self, local, channels, blackboard);
		this.outbox = new HolderOutbox(this.directory, control);
	}

	@Override
	public CompletableFuture<RoutedReservation> reserve(ReserveRequest request) {
		return new HolderSearch(this.directory, request, this.outbox::release).start();
	}

	@Override
	public CompletableFuture<Void> settle(String holderAddress, Receipt receipt) {
		CompletableFuture<Void> withTimeout = new CompletableFuture<>();
		this.outbox.settle(new HolderAddress(receipt.getHolderIncarnation(), holderAddress), receipt)
			.thenAccept(withTimeout::complete);
		return withTimeout.orTimeout(SETTLE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
			.exceptionallyCompose((failure) -> CompletableFuture
				.failedFuture(new HolderUnreachableException(receipt.getHolderIncarnation(), failure)));
	}

	@Override
	public void release(RoutedReservation reservation, String requestId) {
		this.outbox.release(
				new HolderAddress(reservation.response().getHolderIncarnation(), reservation.holderAddress()),
				requestId);
	}

	/**
	 * Returns the number of receipts and releases that a holder has yet to acknowledge.
	 * Must be called on the control thread.
	 * @return the number, zero or more
	 */
	public int unacknowledgedCount() {
		return this.outbox.unacknowledgedCount();
	}

}
