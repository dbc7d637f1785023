package io.verbenacleat.core.rpc;

import java.util.concurrent.CompletableFuture;

import com.google.common.util.concurrent.FutureCallback;
import com.google.common.util.concurrent.Futures;
import com.google.common.util.concurrent.ListenableFuture;
import com.google.common.util.concurrent.MoreExecutors;

/**
 * Converts the futures of gRPC stubs to {@link CompletableFuture}. Stateless.
 */
public final class RpcFutures {

	private RpcFutures() {
	}

	/**
	 * Converts a future.
	 * @param <T> the type of the response
	 * @param future the future of the call
	 * @return a future that completes with the same response or failure, on a thread of
	 * gRPC; cancelling it does not cancel the call
	 */
	public static <T> CompletableFuture<T> of(ListenableFuture<T> future) {
		CompletableFuture<T> result = new CompletableFuture<>();
		Futures.addCallback(future, new FutureCallback<T>() {
			@Override
			public void onSuccess(T response) {
				result.complete(response);
			}

			@Override
			public void onFailure(Throwable failure) {
				result.completeExceptionally(failure);
			}
		}, MoreExecutors.directExecutor());
		return result;
	}

}
