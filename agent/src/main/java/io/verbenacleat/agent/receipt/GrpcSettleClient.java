package io.verbenacleat.agent.receipt;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.grpc.stub.StreamObserver;
import io.verbenacleat.core.rpc.Channels;
import io.verbenacleat.proto.v1.HolderServiceGrpc;
import io.verbenacleat.proto.v1.SettleRequest;
import io.verbenacleat.proto.v1.SettleResponse;

/**
 * Settle client that uses gRPC. Safe for use by several threads.
 */
public final class GrpcSettleClient implements SettleClient {

	/**
	 * Longer than the journal interval of the holder, which may respond only after the
	 * next journal write.
	 */
	private static final int DEADLINE_SECONDS = 8;

	private final Channels channels;

	/**
	 * Creates a client.
	 * @param channels the gRPC channels by address
	 */
	public GrpcSettleClient(Channels channels) {
		this.channels = channels;
	}

	@Override
	public CompletableFuture<SettleResponse> settle(String address, SettleRequest request) {
		SettleObserver observer = new SettleObserver();
		HolderServiceGrpc.newStub(this.channels.get(address))
			.withDeadlineAfter(DEADLINE_SECONDS, TimeUnit.SECONDS)
			.settle(request, observer);
		return observer.future;
	}

	@Override
	public void release(String address) {
		this.channels.release(address);
	}

	private static final class SettleObserver implements StreamObserver<SettleResponse> {

		private final CompletableFuture<SettleResponse> future = new CompletableFuture<>();

		@Override
		public void onNext(SettleResponse value) {
			this.future.complete(value);
		}

		@Override
		public void onError(Throwable failure) {
			this.future.completeExceptionally(failure);
		}

		@Override
		public void onCompleted() {
			this.future
				.completeExceptionally(new IllegalStateException("The holder completed the call without a response"));
		}

	}

}
