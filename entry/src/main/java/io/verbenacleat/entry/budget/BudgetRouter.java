package io.verbenacleat.entry.budget;

import java.util.concurrent.CompletableFuture;

import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReserveRequest;

/**
 * Finds the budget holders of an account and sends reservations, receipts and releases to
 * them. Implementations are safe for use by several threads.
 */
public interface BudgetRouter {

	/**
	 * Reserves tokens at the first holder that can cover them. The home holders of the
	 * account at this site are tried first, then the holders that their refusals list.
	 * @param request the request
	 * @return the response of the holder, or the most specific refusal; never fails
	 */
	CompletableFuture<RoutedReservation> reserve(ReserveRequest request);

	/**
	 * Sends a receipt to its holder, with retries until it is acknowledged or the holder
	 * is known to be closed. The agent reports the receipt too, so none is lost when this
	 * gateway crashes.
	 * @param holderAddress the gRPC address of the holder
	 * @param receipt the receipt
	 * @return completes when the holder has the receipt; fails with
	 * {@link HolderUnreachableException} when it did not answer within a second, while
	 * the retries continue
	 */
	CompletableFuture<Void> settle(String holderAddress, Receipt receipt);

	/**
	 * Releases the reservation of a request that was not run, with retries until the
	 * holder acknowledges it.
	 * @param reservation the reservation
	 * @param requestId the request
	 */
	void release(RoutedReservation reservation, String requestId);

}
