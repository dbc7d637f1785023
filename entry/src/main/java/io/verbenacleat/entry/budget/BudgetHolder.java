package io.verbenacleat.entry.budget;

import java.util.concurrent.CompletableFuture;

import io.verbenacleat.proto.v1.ReleaseRequest;
import io.verbenacleat.proto.v1.ReleaseResponse;
import io.verbenacleat.proto.v1.ReserveRequest;
import io.verbenacleat.proto.v1.ReserveResponse;
import io.verbenacleat.proto.v1.SettleRequest;
import io.verbenacleat.proto.v1.SettleResponse;

/**
 * A holder of budget grants, in this process or in another one. Implementations are safe
 * for use by several threads. A future fails with {@link HolderUnreachableException} when
 * the holder did not answer; a refusal is a normal response.
 */
public interface BudgetHolder {

	/**
	 * Reserves the largest number of tokens that one request can use.
	 * @param request the request
	 * @return the response, granted or refused
	 */
	CompletableFuture<ReserveResponse> reserve(ReserveRequest request);

	/**
	 * Bills receipts and ends their reservations; idempotent by request id.
	 * @param request the receipts
	 * @return which of the receipts are durable
	 */
	CompletableFuture<SettleResponse> settle(SettleRequest request);

	/**
	 * Releases the reservations of requests that were not run; idempotent by request id.
	 * @param request the requests
	 * @return the acknowledgement
	 */
	CompletableFuture<ReleaseResponse> release(ReleaseRequest request);

}
