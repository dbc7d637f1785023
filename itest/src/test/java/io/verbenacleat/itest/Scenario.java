package io.verbenacleat.itest;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.verbenacleat.core.account.Grant;

/**
 * Failure scenarios of a fleet under load. Each scenario injects faults and waits for
 * their effects; {@link #run} then checks the history with {@link LedgerChecker}.
 */
enum Scenario {

	/** An entry is killed while it has requests in progress. */
	KILL_ENTRY {
		@Override
		void injectFaults(ScenarioRun run) throws Exception {
			String entry = run.choose("entry-0", "entry-1");
			String killed = run.incarnation(entry);
			run.awaitInProgress(entry);
			run.recordEvent("kill " + entry);
			run.fleet().process(entry).kill();
			run.awaitAnswers(ANSWERS_PER_STEP);
			run.awaitClosed(killed);
			run.fleet().restart(entry);
		}
	},

	/** An agent is killed and restarted. */
	KILL_AGENT {
		@Override
		void injectFaults(ScenarioRun run) throws Exception {
			String agent = run.choose("agent-1", "agent-2");
			run.recordEvent("kill " + agent);
			run.fleet().process(agent).kill();
			run.awaitAnswers(2 * ANSWERS_PER_STEP);
			run.fleet().restart(agent);
		}
	},

	/** An agent and an entry are killed at the same time. */
	KILL_AGENT_AND_ENTRY {
		@Override
		void injectFaults(ScenarioRun run) throws Exception {
			String agent = run.choose("agent-1", "agent-2");
			String entry = run.choose("entry-0", "entry-1");
			String killed = run.incarnation(entry);
			run.awaitInProgress(entry);
			run.recordEvent("kill " + agent + " and " + entry);
			run.fleet().process(agent).signal("KILL");
			run.fleet().process(entry).signal("KILL");
			run.awaitAnswers(ANSWERS_PER_STEP);
			run.fleet().restart(agent);
			run.awaitClosed(killed);
			run.fleet().restart(entry);
		}
	},

	/**
	 * An entry is suspended until another has closed it, then resumed; it has to exit.
	 */
	PAUSE_ENTRY {
		@Override
		void injectFaults(ScenarioRun run) throws Exception {
			String entry = run.choose("entry-0", "entry-1");
			String paused = run.incarnation(entry);
			run.awaitInProgress(entry);
			run.recordEvent("stop " + entry);
			ManagedProcess process = run.fleet().process(entry);
			process.signal("STOP");
			run.awaitClosed(paused);
			run.recordEvent("continue " + entry);
			process.signal("CONT");
			int exitCode = process.awaitExitCode(Duration.ofSeconds(60));
			if (exitCode != 1) {
				throw run.writeFailure(entry + " ended with exit code " + exitCode + " after it was closed", List.of());
			}
			run.fleet().restart(entry);
		}
	},

	/**
	 * An entry cannot reach the platform while requests continue and the account is
	 * topped up.
	 */
	PARTITION_ENTRY_PLATFORM {
		@Override
		void injectFaults(ScenarioRun run) throws Exception {
			String entry = run.choose("entry-0", "entry-2");
			LinkRelay link = run.fleet().link(entry, FleetLinks.PLATFORM);
			run.recordEvent("cut " + entry + " from the platform");
			link.cut();
			run.awaitAnswersFrom(entry, 3 * ANSWERS_PER_STEP);
			run.fleet().admin().topUp("second", 50_000);
			run.awaitAnswersFrom(entry, 3 * ANSWERS_PER_STEP);
			run.recordEvent("heal");
			link.heal();
		}
	},

	/**
	 * The links between an entry and an agent are cut in both directions, then in one
	 * direction at a time.
	 */
	PARTITION_ENTRY_AGENT {
		@Override
		void injectFaults(ScenarioRun run) throws Exception {
			String entry = run.choose("entry-0", "entry-1");
			LinkRelay orders = run.fleet().link(entry, "agent-1");
			LinkRelay receipts = run.fleet().link("agent-1", entry);
			run.recordEvent("cut " + entry + " and agent-1");
			orders.cut();
			receipts.cut();
			run.awaitAnswers(ANSWERS_PER_STEP);
			orders.heal();
			receipts.heal();
			run.recordEvent("healed, cut towards the agent");
			run.awaitAnswers(ANSWERS_PER_STEP);
			orders.cutForward();
			run.awaitAnswers(ANSWERS_PER_STEP);
			orders.heal();
			run.recordEvent("healed, cut from the agent");
			run.awaitAnswers(ANSWERS_PER_STEP);
			orders.cutBackward();
			run.awaitAnswers(ANSWERS_PER_STEP);
			orders.heal();
		}
	},

	/** The links between the sites are cut while both use the budget. */
	PARTITION_SITES {
		@Override
		void injectFaults(ScenarioRun run) throws Exception {
			List<LinkRelay> links = new ArrayList<>();
			for (String west : List.of("entry-0", "entry-1", "agent-1", "agent-3")) {
				links.add(run.fleet().link("entry-2", west));
				links.add(run.fleet().link(west, "entry-2"));
			}
			links.add(run.fleet().link("entry-0", "agent-2"));
			links.add(run.fleet().link("entry-1", "agent-2"));
			run.recordEvent("cut the sites");
			links.forEach(LinkRelay::cut);
			run.awaitAnswersFrom("entry-2", 3 * ANSWERS_PER_STEP);
			run.awaitAnswersFrom("entry-0", 3 * ANSWERS_PER_STEP);
			run.recordEvent("heal");
			links.forEach(LinkRelay::heal);
		}
	},

	/**
	 * The platform is unavailable, then slow, then loses responses, then applies writes
	 * late.
	 */
	PLATFORM_FAULTS {
		@Override
		void injectFaults(ScenarioRun run) throws Exception {
			run.setPlatformFaults("{\"available\":false}");
			run.awaitAnswers(ANSWERS_PER_STEP);
			run.setPlatformFaults("{\"available\":true,\"delayMs\":1500}");
			run.awaitAnswers(ANSWERS_PER_STEP);
			run.setPlatformFaults("{\"delayMs\":0,\"loseAnswers\":10,\"refusalProbability\":0.3}");
			run.awaitAnswers(ANSWERS_PER_STEP);
			run.setPlatformFaults("{\"refusalProbability\":0,\"lateTransactions\":5,\"lateByMs\":3000}");
			run.awaitAnswers(ANSWERS_PER_STEP);
		}
	},

	/** All entries use a small budget until it is spent. */
	BUDGET_END {
		@Override
		long budgetTokens() {
			return 8_000;
		}

		@Override
		void injectFaults(ScenarioRun run) throws Exception {
			run.await("the budget is used up", () -> countRefusals(run, "insufficient_quota") >= 5);
			run.load().close();
		}

		@Override
		void checkAndReport(ScenarioRun run, History history) {
			List<CallRecord> refused = FalseRefusals.find(history, run.load().records());
			long spentTokens = history.executions().stream().mapToLong(History.Execution::totalTokens).sum();
			System.out.println("BUDGET_END: spent " + spentTokens + " of " + budgetTokens() + " tokens, refusals "
					+ countRefusals(run, "insufficient_quota") + " insufficient_quota, "
					+ countRefusals(run, "budget_reserved") + " budget_reserved; false refusals " + refused.size() + " "
					+ refused.stream().limit(3).toList());
		}
	},

	/**
	 * An entry and an agent stop gracefully under load; no request may be cut off.
	 */
	STOP_TWO {
		@Override
		void injectFaults(ScenarioRun run) throws Exception {
			String entry = run.choose("entry-0", "entry-1");
			String agent = run.choose("agent-1", "agent-2");
			run.awaitInProgress(entry);
			run.recordEvent("terminate " + entry + " and " + agent);
			ManagedProcess first = run.fleet().process(entry);
			ManagedProcess second = run.fleet().process(agent);
			first.signal("TERM");
			second.signal("TERM");
			int entryCode = first.awaitExitCode(Duration.ofSeconds(60));
			int agentCode = second.awaitExitCode(Duration.ofSeconds(60));
			run.awaitAnswers(ANSWERS_PER_STEP);
			List<String> cutOff = run.load()
				.records()
				.stream()
				.filter((call) -> call.outcome() == CallRecord.Outcome.BROKEN_OFF
						|| call.outcome() == CallRecord.Outcome.UNKNOWN)
				.map(CallRecord::toString)
				.toList();
			if (entryCode != 0 || agentCode != 0 || !cutOff.isEmpty()) {
				throw run.writeFailure(
						"exit codes " + entryCode + " of " + entry + " and " + agentCode + " of " + agent
								+ ", requests cut off: " + cutOff.size() + " " + cutOff.stream().limit(3).toList(),
						cutOff);
			}
		}

		@Override
		void checkAndReport(ScenarioRun run, History history) throws Exception {
			List<String> incomplete = history.receipts()
				.values()
				.stream()
				.flatMap(List::stream)
				.filter((receipt) -> !receipt.status().equals("COMPLETE"))
				.map(Object::toString)
				.toList();
			if (!incomplete.isEmpty()) {
				throw run.writeFailure("receipts of requests that were cut off: " + incomplete, incomplete);
			}
		}
	},

	/** An entry that holds a grant is killed; the grant returns to the account. */
	RECOVER_GRANT {
		@Override
		long budgetTokens() {
			return 100_000;
		}

		@Override
		void injectFaults(ScenarioRun run) throws Exception {
			run.await("a grant in the site west", () -> holdsGrant(run, "entry-0") || holdsGrant(run, "entry-1"));
			String entry = (holdsGrant(run, "entry-0")) ? "entry-0" : "entry-1";
			String killed = run.incarnation(entry);
			Grant grant = run.fleet().admin().account().grants().get(killed);
			long remainingTokens = (grant != null) ? grant.remainingTokens() : 0;
			run.recordEvent("kill " + entry);
			long startNanos = System.nanoTime();
			run.fleet().process(entry).kill();
			run.awaitClosed(killed);
			Duration closedAfter = Duration.ofNanos(System.nanoTime() - startNanos);
			run.await("the grant is folded", () -> run.fleet().admin().account().grant(killed) == null);
			Duration foldedAfter = Duration.ofNanos(System.nanoTime() - startNanos);
			System.out.println("RECOVER_GRANT: closed after " + closedAfter.toMillis() + " ms, grant folded after "
					+ foldedAfter.toMillis() + " ms, out of reach meanwhile at most " + remainingTokens + " of "
					+ budgetTokens() + " tokens, held afterwards " + run.fleet().admin().account().heldTokens());
			run.fleet().restart(entry);
		}
	};

	private static final int ANSWERS_PER_STEP = 25;

	/**
	 * Runs the scenario and checks its history.
	 * @param seed the seed of all random choices
	 * @throws Exception when a step fails
	 * @throws AssertionError when a check fails
	 */
	void run(long seed) throws Exception {
		try (ScenarioRun run = ScenarioRun.start(name(), seed, budgetTokens())) {
			try {
				run.awaitAnswers(ANSWERS_PER_STEP / 2);
				injectFaults(run);
				if (budgetTokens() >= LARGE_BUDGET_TOKENS) {
					run.awaitAnswers(ANSWERS_PER_STEP);
				}
				checkAndReport(run, run.finish());
			}
			catch (AssertionError ex) {
				throw (String.valueOf(ex.getMessage()).contains("The history is in")) ? ex
						: run.writeFailure(String.valueOf(ex.getMessage()), List.of());
			}
		}
	}

	/**
	 * Returns the tokens of the first top-up.
	 * @return the tokens
	 */
	long budgetTokens() {
		return LARGE_BUDGET_TOKENS;
	}

	/**
	 * Injects the faults and ends them.
	 * @param run the run
	 * @throws Exception when a step fails
	 */
	abstract void injectFaults(ScenarioRun run) throws Exception;

	/**
	 * Prints figures or makes further checks, after the common checks have passed.
	 * @param run the run
	 * @param history the history after all requests have ended
	 * @throws Exception when a check cannot be made
	 */
	void checkAndReport(ScenarioRun run, History history) throws Exception {
	}

	private static final long LARGE_BUDGET_TOKENS = 1_000_000;

	private static boolean holdsGrant(ScenarioRun run, String entry) throws Exception {
		return run.fleet().admin().account().grant(run.incarnation(entry)) != null;
	}

	private static long countRefusals(ScenarioRun run, String code) {
		return run.load().records().stream().filter((call) -> call.detail().startsWith(code)).count();
	}

}
