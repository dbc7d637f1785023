package io.verbenacleat.entry.member;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.rpc.Channels;
import io.verbenacleat.core.rpc.RpcFutures;
import io.verbenacleat.entry.budget.AgentControl;
import io.verbenacleat.proto.v1.AgentServiceGrpc;
import io.verbenacleat.proto.v1.CloseProcessRequest;
import io.verbenacleat.proto.v1.CloseProcessResponse;

/**
 * Calls agents by gRPC. Safe for use by several threads.
 */
public final class GrpcAgentControl implements AgentControl {

	private static final int CALL_TIMEOUT_SECONDS = 2;

	private final Channels channels;

	/**
	 * Creates a client of the agents.
	 * @param channels the gRPC channels to the processes of the fleet
	 */
	public GrpcAgentControl(Channels channels) {
		this.channels = channels;
	}

	@Override
	public CompletableFuture<CloseProcessResponse> closeProcess(Member agent, CloseProcessRequest request) {
		return RpcFutures
			.of(AgentServiceGrpc.newFutureStub(this.channels.get(agent.address()))
				.withDeadlineAfter(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS)
				.closeProcess(request))
			.thenCompose((response) -> check(agent, response));
	}

	private static CompletableFuture<CloseProcessResponse> check(Member agent, CloseProcessResponse response) {
		return (response.getAgentIncarnation().equals(agent.incarnation()))
				? CompletableFuture.completedFuture(response)
				: CompletableFuture.failedFuture(new WrongAgentException(agent.incarnation()));
	}

}
