package io.verbenacleat.core.rpc;

import java.util.concurrent.CompletableFuture;

import com.google.common.util.concurrent.FutureCallback;
import com.google.common.util.concurrent.Futures;
import com.google.common.util.concurrent.ListenableFuture;
import com.google.common.util.concurrent.MoreExecutors;

/**
 * Turns the futures of gRPC stubs into those of the Java platform.
 */
public final class RpcFutures {

	private RpcFutures() {
	}

	/**
	 * Follows a call.
	 * @param <T> the type of the answer
	 * @param future the call
	 * @return completes as the call does, on a thread of gRPC
	 */
	public static <T> CompletableFuture<T> of(ListenableFuture<T> future) {
		CompletableFuture<T> result = new CompletableFuture<>();
		Futures.addCallback(future, new FutureCallback<T>() {
			@Override
			public void onSuccess(T answer) {
				result.complete(answer);
			}

			@Override
			public void onFailure(Throwable failure) {
				result.completeExceptionally(failure);
			}
		}, MoreExecutors.directExecutor());
		return result;
	}

}
