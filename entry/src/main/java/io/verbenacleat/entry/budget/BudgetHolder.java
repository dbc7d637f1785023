package io.verbenacleat.entry.budget;

import java.util.concurrent.CompletableFuture;

import io.verbenacleat.proto.v1.ReleaseRequest;
import io.verbenacleat.proto.v1.ReleaseResponse;
import io.verbenacleat.proto.v1.ReserveRequest;
import io.verbenacleat.proto.v1.ReserveResponse;
import io.verbenacleat.proto.v1.SettleRequest;
import io.verbenacleat.proto.v1.SettleResponse;

/**
 * A holder of budget grants, in this process or in another. Implementations are safe for
 * use by several threads. A future fails with {@link HolderUnreachableException} when the
 * holder did not answer; a refusal is a normal answer.
 */
public interface BudgetHolder {

	/**
	 * Reserves the worst case of one request.
	 * @param request the request
	 * @return the answer
	 */
	CompletableFuture<ReserveResponse> reserve(ReserveRequest request);

	/**
	 * Turns reservations into spent tokens; idempotent by request id.
	 * @param request the receipts
	 * @return which of them are durable
	 */
	CompletableFuture<SettleResponse> settle(SettleRequest request);

	/**
	 * Frees reservations of requests that were not run; idempotent by request id.
	 * @param request the requests
	 * @return the acknowledgement
	 */
	CompletableFuture<ReleaseResponse> release(ReleaseRequest request);

}
