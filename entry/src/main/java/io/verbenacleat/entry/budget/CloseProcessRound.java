package io.verbenacleat.entry.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.proto.v1.CloseProcessRequest;
import io.verbenacleat.proto.v1.CloseProcessResponse;
import org.jspecify.annotations.Nullable;

/**
 * Calls {@code CloseProcess} once at every agent that may have received orders of a
 * process. Used on the control thread only.
 * <p>
 * The agents are found by their process rows. An agent that closed its own row is left
 * out, since it stopped gracefully with all its receipts durable. An agent that ended
 * before the process registered is left out as well: a newer agent of its backend server
 * had registered by then. The rows show this even when that newer agent has been replaced
 * since.
 */
final class CloseProcessRound {

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

	private static final int PAGE_ROWS = 500;

	private final TableStore store;

	private final ControlThread control;

	private final AgentControl agents;

	private final LostAgents lostAgents;

	CloseProcessRound(TableStore store, ControlThread control, AgentControl agents, LostAgents lostAgents) {
		this.store = store;
		this.control = control;
		this.agents = agents;
		this.lostAgents = lostAgents;
	}

	/**
	 * Runs one round of calls.
	 * @param process the process to close
	 * @param requester the incarnation of the calling process
	 * @return the responses of the agents; fails when the process rows cannot be read
	 */
	CompletableFuture<Result> run(Member process, String requester) {
		List<ProcessRow> found = new ArrayList<>();
		CloseProcessRequest request = CloseProcessRequest.newBuilder()
			.setIncarnation(process.incarnation())
			.setAskingIncarnation(requester)
			.build();
		CompletableFuture<Void> listed = new CompletableFuture<>();
		list("", found, listed);
		return listed.thenCompose((done) -> callAgents(selectAgents(found, process), request));
	}

	private void list(String after, List<ProcessRow> found, CompletableFuture<Void> done) {
		this.store.scan(ProcessRow.KEY_PREFIX, after, PAGE_ROWS).whenCompleteAsync((rows, failure) -> {
			if (rows == null) {
				done.completeExceptionally(
						(failure != null) ? failure : new IllegalStateException("The table store returned no rows"));
				return;
			}
			for (Row row : rows) {
				ProcessRows.parse(row)
					.filter((process) -> process.member().role() == Member.Role.AGENT)
					.ifPresent(found::add);
			}
			if (rows.size() < PAGE_ROWS) {
				done.complete(null);
			}
			else {
				list(rows.get(rows.size() - 1).key(), found, done);
			}
		}, this.control);
	}

	private List<Member> selectAgents(List<ProcessRow> agents, Member process) {
		Map<String, Long> fences = new HashMap<>();
		agents.stream()
			.map(ProcessRow::member)
			.filter((agent) -> agent.backendServer() != null && agent.registration() < process.registration())
			.forEach((agent) -> fences.merge(agent.backendServer(), agent.fence(), Math::max));
		return agents.stream()
			.filter((agent) -> mayHaveOrders(agent, process))
			.map(ProcessRow::member)
			.filter((agent) -> agent.fence() >= fences.getOrDefault(agent.backendServer(), 0L))
			.toList();
	}

	private boolean mayHaveOrders(ProcessRow agent, Member process) {
		boolean stoppedGracefully = agent.state() == ProcessRow.State.CLOSED
				&& agent.member().incarnation().equals(agent.closedBy());
		return !stoppedGracefully && !this.lostAgents.endedBefore(agent.member(), process);
	}

	private CompletableFuture<Result> callAgents(List<Member> members, CloseProcessRequest request) {
		CompletableFuture<Result> done = new CompletableFuture<>();
		Result result = new Result(members.size(), done);
		result.completeWhenAnswered();
		for (Member agent : members) {
			CompletableFuture<CloseProcessResponse> call = new CompletableFuture<>();
			Cancellable timer = this.control.schedule(CALL_TIMEOUT, () -> call.cancel(false));
			this.agents.closeProcess(agent, request).whenCompleteAsync((response, failure) -> {
				timer.cancel();
				if (response != null) {
					call.complete(response);
				}
				else {
					call.cancel(false);
				}
			}, this.control);
			call.whenComplete((response, failure) -> result.handleResponse(agent, response, this.lostAgents));
		}
		return done;
	}

	/**
	 * The responses of the agents in one round. Used on the control thread only.
	 */
	static final class Result {

		final List<CloseProcessResponse> responses = new ArrayList<>();

		final List<String> lostIncarnations = new ArrayList<>();

		private final CompletableFuture<Result> done;

		private int openCalls;

		private boolean unanswered;

		private Result(int calls, CompletableFuture<Result> done) {
			this.openCalls = calls;
			this.done = done;
		}

		private void handleResponse(Member agent, @Nullable CloseProcessResponse response, LostAgents lostAgents) {
			this.openCalls--;
			if (response != null) {
				this.responses.add(response);
			}
			else if (lostAgents.isLost(agent)) {
				this.lostIncarnations.add(agent.incarnation());
			}
			else {
				this.unanswered = true;
			}
			completeWhenAnswered();
		}

		private void completeWhenAnswered() {
			if (this.openCalls == 0) {
				this.done.complete(this);
			}
		}

		/**
		 * Returns whether each agent either reported that no order is in progress, or is
		 * lost.
		 * @return {@code true} when only receipts of lost agents can be missing
		 */
		boolean complete() {
			return !this.unanswered && this.responses.stream().allMatch((response) -> response.getInProgress() == 0);
		}

	}

}
