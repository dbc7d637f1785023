package io.verbenacleat.entry.budget;

import java.util.concurrent.CompletableFuture;

import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReserveRequest;

/**
 * Finds the holder for each account and passes reservations and receipts to it. Safe for
 * use by several threads.
 */
public interface BudgetRouter {

	/**
	 * Reserves tokens with the first holder that can cover them: the home holders of the
	 * account at this site, then the holders that those name.
	 * @param request the request
	 * @return the answer of the holder, or the refusal that says most; never fails
	 */
	CompletableFuture<RoutedReservation> reserve(ReserveRequest request);

	/**
	 * Passes a receipt to its holder, again and again until it is acknowledged or the
	 * holder is known to be closed. The agent reports the receipt too, so a gateway that
	 * dies loses nothing.
	 * @param holderAddress the gRPC address of the holder
	 * @param receipt the receipt
	 * @return completes when the holder knows the receipt; fails with
	 * {@link HolderUnreachableException} when it did not answer within a second, while
	 * the repetition goes on
	 */
	CompletableFuture<Void> settle(String holderAddress, Receipt receipt);

	/**
	 * Frees the reservation of a request that was not run, repeated until acknowledged.
	 * @param reservation the reservation
	 * @param requestId the request
	 */
	void release(RoutedReservation reservation, String requestId);

}
