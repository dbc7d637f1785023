package io.verbenacleat.entry.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
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
 * Calls {@code CloseProcess} once at every agent that may have had orders of a process.
 * Used on the control thread only.
 * <p>
 * The agents are those with a process row. One that closed its own row stopped
 * gracefully, with all its receipts durable, and is left out.
 */
final class AgentRound {

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

	private static final int PAGE_ROWS = 500;

	private final TableStore store;

	private final ControlThread control;

	private final AgentControl agents;

	private final LostAgents lostAgents;

	AgentRound(TableStore store, ControlThread control, AgentControl agents, LostAgents lostAgents) {
		this.store = store;
		this.control = control;
		this.agents = agents;
		this.lostAgents = lostAgents;
	}

	/**
	 * Runs one round.
	 * @param process the process to close
	 * @param asking the incarnation that asks
	 * @return what the agents answered; fails when the process rows cannot be read
	 */
	CompletableFuture<Result> run(Member process, String asking) {
		List<Member> found = new ArrayList<>();
		CloseProcessRequest request = CloseProcessRequest.newBuilder()
			.setIncarnation(process.incarnation())
			.setAskingIncarnation(asking)
			.build();
		CompletableFuture<Void> listed = new CompletableFuture<>();
		list(process, "", found, listed);
		return listed.thenCompose((done) -> ask(found, request));
	}

	private void list(Member process, String after, List<Member> found, CompletableFuture<Void> done) {
		this.store.scan(ProcessRow.KEY_PREFIX, after, PAGE_ROWS).whenCompleteAsync((rows, failure) -> {
			if (rows == null) {
				done.completeExceptionally((failure != null) ? failure : new IllegalStateException("No rows"));
				return;
			}
			for (Row row : rows) {
				ProcessRows.parse(row)
					.filter((agent) -> concerned(agent, process))
					.ifPresent((agent) -> found.add(agent.member()));
			}
			if (rows.size() < PAGE_ROWS) {
				done.complete(null);
			}
			else {
				list(process, rows.get(rows.size() - 1).key(), found, done);
			}
		}, this.control);
	}

	private boolean concerned(ProcessRow agent, Member process) {
		boolean stoppedGracefully = agent.state() == ProcessRow.State.CLOSED
				&& agent.member().incarnation().equals(agent.closedBy());
		return agent.member().role() == Member.Role.AGENT && !stoppedGracefully
				&& !this.lostAgents.endedBefore(agent.member(), process);
	}

	private CompletableFuture<Result> ask(List<Member> members, CloseProcessRequest request) {
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
			call.whenComplete((response, failure) -> result.take(agent, response, this.lostAgents));
		}
		return done;
	}

	/**
	 * What the agents of one round answered.
	 */
	static final class Result {

		final List<CloseProcessResponse> responses = new ArrayList<>();

		final List<String> lost = new ArrayList<>();

		private final CompletableFuture<Result> done;

		private int openCalls;

		private boolean silent;

		private Result(int calls, CompletableFuture<Result> done) {
			this.openCalls = calls;
			this.done = done;
		}

		private void take(Member agent, @Nullable CloseProcessResponse response, LostAgents lostAgents) {
			this.openCalls--;
			if (response != null) {
				this.responses.add(response);
			}
			else if (lostAgents.isLost(agent)) {
				this.lost.add(agent.incarnation());
			}
			else {
				this.silent = true;
			}
			completeWhenAnswered();
		}

		private void completeWhenAnswered() {
			if (this.openCalls == 0) {
				this.done.complete(this);
			}
		}

		/**
		 * Returns whether each agent either answered that nothing is in progress, or is
		 * lost.
		 * @return {@code true} when no receipt can be missing but those of lost agents
		 */
		boolean complete() {
			return !this.silent && this.responses.stream().allMatch((response) -> response.getInProgress() == 0);
		}

	}

}
