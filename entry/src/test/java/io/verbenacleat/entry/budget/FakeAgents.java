package io.verbenacleat.entry.budget;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.member.Member;
import io.verbenacleat.proto.v1.CloseProcessRequest;
import io.verbenacleat.proto.v1.CloseProcessResponse;
import io.verbenacleat.proto.v1.Receipt;

/**
 * Fake agents that refuse orders of closed holders, and keep receipts until these are
 * durable. Not safe for use by several threads.
 */
final class FakeAgents implements AgentControl, LostAgents {

	final Map<String, FakeAgent> agents = new HashMap<>();

	private final TestEnvironment environment;

	private Runnable firstCall = () -> {
	};

	FakeAgents(TestEnvironment environment) {
		this.environment = environment;
	}

	FakeAgent add(String incarnation) {
		this.environment.register(incarnation, Member.Role.AGENT);
		FakeAgent agent = new FakeAgent();
		// An agent refuses orders of processes that were closed before it registered.
		this.environment.closedProcesses().forEach(agent.closed::add);
		this.agents.put(incarnation, agent);
		return agent;
	}

	void onFirstCall(Runnable event) {
		this.firstCall = event;
	}

	FakeAgent agent(String incarnation) {
		return Objects.requireNonNull(this.agents.get(incarnation));
	}

	@Override
	public CompletableFuture<CloseProcessResponse> closeProcess(Member member, CloseProcessRequest request) {
		Runnable event = this.firstCall;
		this.firstCall = () -> {
		};
		event.run();
		FakeAgent agent = this.agents.get(member.incarnation());
		if (agent == null || agent.lost || agent.unreachable) {
			return CompletableFuture.failedFuture(new IllegalStateException("The agent does not answer"));
		}
		return CompletableFuture.completedFuture(agent.close(request.getIncarnation()));
	}

	@Override
	public boolean isLost(Member member) {
		FakeAgent agent = this.agents.get(member.incarnation());
		return agent != null && agent.lost;
	}

	/**
	 * A fake agent with its running orders and its receipts.
	 */
	final class FakeAgent {

		final Map<String, Receipt> running = new LinkedHashMap<>();

		final Map<String, Receipt> receipts = new LinkedHashMap<>();

		boolean lost;

		boolean unreachable;

		private final Set<String> closed = new HashSet<>();

		/**
		 * Starts an order.
		 * @param receipt the receipt of the order once it is finished
		 * @return whether it started; otherwise it never will
		 */
		boolean start(Receipt receipt) {
			String holder = receipt.getHolderIncarnation();
			if (this.lost || this.closed.contains(holder)) {
				return false;
			}
			this.running.put(receipt.getRequestId(), receipt);
			return true;
		}

		Receipt receipt(String requestId) {
			return Objects.requireNonNull(this.receipts.get(requestId));
		}

		void finishAll() {
			this.receipts.putAll(this.running);
			this.running.clear();
		}

		private CloseProcessResponse close(String process) {
			this.closed.add(process);
			long inProgress = this.running.values()
				.stream()
				.filter((receipt) -> receipt.getHolderIncarnation().equals(process))
				.count();
			return CloseProcessResponse.newBuilder()
				.setInProgress((int) inProgress)
				.addAllReceipts(this.receipts.values()
					.stream()
					.filter((receipt) -> receipt.getHolderIncarnation().equals(process))
					.toList())
				.build();
		}

	}

}
