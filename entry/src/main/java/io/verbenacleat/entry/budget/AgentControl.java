package io.verbenacleat.entry.budget;

import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.member.Member;
import io.verbenacleat.proto.v1.CloseProcessRequest;
import io.verbenacleat.proto.v1.CloseProcessResponse;

/**
 * Calls agents to close a process. Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface AgentControl {

	/**
	 * Calls {@code CloseProcess} at one agent incarnation. A response of another
	 * incarnation at the same address must be turned into a failure.
	 * @param agent the agent
	 * @param request the request
	 * @return the response; fails when the agent did not answer
	 */
	CompletableFuture<CloseProcessResponse> closeProcess(Member agent, CloseProcessRequest request);

}
