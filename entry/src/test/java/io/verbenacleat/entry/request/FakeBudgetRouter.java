package io.verbenacleat.entry.request;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;

import io.verbenacleat.entry.budget.BudgetRouter;
import io.verbenacleat.entry.budget.HolderUnreachableException;
import io.verbenacleat.entry.budget.RoutedReservation;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReserveRequest;
import io.verbenacleat.proto.v1.ReserveResponse;

/**
 * A fake budget router that returns the configured response and records receipts and
 * releases. Safe for use by several threads.
 */
final class FakeBudgetRouter implements BudgetRouter {

	final BlockingQueue<Receipt> settled = new LinkedBlockingQueue<>();

	final BlockingQueue<String> released = new LinkedBlockingQueue<>();

	volatile ReserveResponse response = ReserveResponse.newBuilder()
		.setGranted(true)
		.setHolderIncarnation("holder-1")
		.build();

	volatile boolean acknowledges = true;

	@Override
	public CompletableFuture<RoutedReservation> reserve(ReserveRequest request) {
		return CompletableFuture.completedFuture(new RoutedReservation("127.0.0.1:1", this.response));
	}

	@Override
	public CompletableFuture<Void> settle(String holderAddress, Receipt receipt) {
		this.settled.add(receipt);
		return (this.acknowledges) ? CompletableFuture.completedFuture(null)
				: CompletableFuture.failedFuture(new HolderUnreachableException("holder-1", null));
	}

	@Override
	public void release(RoutedReservation reservation, String requestId) {
		this.released.add(requestId);
	}

}
