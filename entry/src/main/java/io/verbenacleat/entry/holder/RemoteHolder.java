package io.verbenacleat.entry.holder;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.util.concurrent.ListenableFuture;
import io.verbenacleat.core.rpc.Channels;
import io.verbenacleat.core.rpc.RpcFutures;
import io.verbenacleat.entry.budget.BudgetHolder;
import io.verbenacleat.entry.budget.HolderUnreachableException;
import io.verbenacleat.proto.v1.HolderServiceGrpc;
import io.verbenacleat.proto.v1.HolderServiceGrpc.HolderServiceFutureStub;
import io.verbenacleat.proto.v1.ReleaseRequest;
import io.verbenacleat.proto.v1.ReleaseResponse;
import io.verbenacleat.proto.v1.ReserveRequest;
import io.verbenacleat.proto.v1.ReserveResponse;
import io.verbenacleat.proto.v1.SettleRequest;
import io.verbenacleat.proto.v1.SettleResponse;

/**
 * A budget holder in another process, called by gRPC. Safe for use by several threads.
 */
final class RemoteHolder implements BudgetHolder {

	private final String address;

	private final Channels channels;

	private final Duration timeout;

	RemoteHolder(String address, Channels channels, Duration timeout) {
		this.address = address;
		this.channels = channels;
		this.timeout = timeout;
	}

	@Override
	public CompletableFuture<ReserveResponse> reserve(ReserveRequest request) {
		return future(stub().reserve(request));
	}

	@Override
	public CompletableFuture<SettleResponse> settle(SettleRequest request) {
		return future(stub().settle(request));
	}

	@Override
	public CompletableFuture<ReleaseResponse> release(ReleaseRequest request) {
		return future(stub().release(request));
	}

	private HolderServiceFutureStub stub() {
		return HolderServiceGrpc.newFutureStub(this.channels.get(this.address))
			.withDeadlineAfter(this.timeout.toMillis(), TimeUnit.MILLISECONDS);
	}

	private <T> CompletableFuture<T> future(ListenableFuture<T> call) {
		return RpcFutures.of(call)
			.exceptionallyCompose(
					(failure) -> CompletableFuture.failedFuture(new HolderUnreachableException(this.address, failure)));
	}

}
