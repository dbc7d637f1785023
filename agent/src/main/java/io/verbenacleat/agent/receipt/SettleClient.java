package io.verbenacleat.agent.receipt;

import java.util.concurrent.CompletableFuture;

import io.verbenacleat.proto.v1.SettleRequest;
import io.verbenacleat.proto.v1.SettleResponse;

/**
 * Client for reporting receipts to holders. Implementations are safe for use by several
 * threads.
 */
public interface SettleClient {

	/**
	 * Reports receipts, without retries.
	 * @param address the gRPC address of the holder, host:port
	 * @param request the receipts
	 * @return the response; completes exceptionally when the holder does not respond
	 * within a few seconds
	 */
	CompletableFuture<SettleResponse> settle(String address, SettleRequest request);

	/**
	 * Releases the connection to a holder for which no receipts wait.
	 * @param address the gRPC address of the holder, host:port
	 */
	void release(String address);

}
