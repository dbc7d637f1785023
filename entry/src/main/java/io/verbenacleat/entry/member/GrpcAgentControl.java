package io.verbenacleat.entry.member;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.util.concurrent.FutureCallback;
import com.google.common.util.concurrent.Futures;
import com.google.common.util.concurrent.MoreExecutors;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.rpc.Channels;
import io.verbenacleat.entry.budget.AgentControl;
import io.verbenacleat.proto.v1.AgentServiceGrpc;
import io.verbenacleat.proto.v1.CloseProcessRequest;
import io.verbenacleat.proto.v1.CloseProcessResponse;

/**
 * Reaches agents by gRPC. Safe for use by several threads.
 */
public final class GrpcAgentControl implements AgentControl {

	private static final int CALL_TIMEOUT_SECONDS = 2;

	private final Channels channels;

	/**
	 * Creates a control.
	 * @param channels the channels to the fleet
	 */
	public GrpcAgentControl(Channels channels) {
		this.channels = channels;
	}

	@Override
	public CompletableFuture<CloseProcessResponse> closeProcess(Member agent, CloseProcessRequest request) {
		CompletableFuture<CloseProcessResponse> result = new CompletableFuture<>();
		var call = AgentServiceGrpc.newFutureStub(this.channels.get(agent.address()))
			.withDeadlineAfter(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS)
			.closeProcess(request);
		Futures.addCallback(call, new FutureCallback<>() {
			@Override
			public void onSuccess(CloseProcessResponse response) {
				if (response.getAgentIncarnation().equals(agent.incarnation())) {
					result.complete(response);
				}
				else {
					result.completeExceptionally(new WrongAgentException(agent.incarnation()));
				}
			}

			@Override
			public void onFailure(Throwable failure) {
				result.completeExceptionally(failure);
			}
		}, MoreExecutors.directExecutor());
		return result;
	}

}
