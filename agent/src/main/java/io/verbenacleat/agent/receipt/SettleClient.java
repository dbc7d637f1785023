package io.verbenacleat.agent.receipt;

import java.util.concurrent.CompletableFuture;

import io.verbenacleat.proto.v1.SettleRequest;
import io.verbenacleat.proto.v1.SettleResponse;

/**
 * Reports receipts to holders. Implementations are safe for use by several threads.
 */
public interface SettleClient {

	/**
	 * Reports receipts once.
	 * @param address the gRPC address of the holder, host:port
	 * @param request the receipts
	 * @return the answer; fails when the holder does not answer within some seconds
	 */
	CompletableFuture<SettleResponse> settle(String address, SettleRequest request);

	/**
	 * Notes that no more receipts wait for the holder at an address.
	 * @param address the gRPC address
	 */
	void release(String address);

}
