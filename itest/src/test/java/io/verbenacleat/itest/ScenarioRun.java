package io.verbenacleat.itest;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import io.verbenacleat.core.member.ProcessRow;

/**
 * One run of a scenario: a fleet with an account and callers, the faults in order, and
 * the checks at the end. Used by one thread.
 */
final class ScenarioRun implements AutoCloseable {

	private static final Duration STEP_TIMEOUT = Duration.ofSeconds(90);

	private static final int CALLER_COUNT = 9;

	private static final String NO_FAULTS = """
			{"available":true,"delayMs":0,"refusalProbability":0,"loseAnswers":0,"lateTransactions":0}""";

	private final List<String> events = new ArrayList<>();

	private final String name;

	private final long seed;

	private final SplittableRandom random;

	private final ProcessFleet fleet;

	private final Caller caller;

	private final LoadGenerator load;

	private ScenarioRun(String name, long seed, long budgetTokens) throws Exception {
		this.name = name;
		this.seed = seed;
		this.random = new SplittableRandom(seed);
		this.fleet = ProcessFleet.start(15);
		this.caller = new Caller(this.fleet, this.fleet.admin().createAccount(budgetTokens));
		this.load = new LoadGenerator(this.caller);
	}

	/**
	 * Starts a fleet with callers that send, and waits until answers come.
	 * @param name the name of the scenario
	 * @param seed the seed
	 * @param budgetTokens the first top-up
	 * @return the run
	 * @throws Exception when a process cannot be started
	 */
	static ScenarioRun start(String name, long seed, long budgetTokens) throws Exception {
		ScenarioRun run = new ScenarioRun(name, seed, budgetTokens);
		run.load.start(seed, CALLER_COUNT);
		run.recordEvent("load started");
		return run;
	}

	/**
	 * Returns the fleet.
	 * @return the fleet
	 */
	ProcessFleet fleet() {
		return this.fleet;
	}

	/**
	 * Returns the callers.
	 * @return the load
	 */
	LoadGenerator load() {
		return this.load;
	}

	/**
	 * Returns what sends single requests.
	 * @return the caller
	 */
	Caller caller() {
		return this.caller;
	}

	/**
	 * Returns a process of two, chosen by the seed.
	 * @param first the one
	 * @param second the other
	 * @return one of them
	 */
	String choose(String first, String second) {
		return (this.random.nextBoolean()) ? first : second;
	}

	/**
	 * Notes a fault or another step with its time.
	 * @param text what happened
	 */
	void recordEvent(String text) {
		this.events.add(Instant.now() + " " + text);
	}

	/**
	 * Waits for a condition.
	 * @param description the condition, for the message
	 * @param condition the condition
	 */
	void await(String description, Await.Condition condition) {
		Await.until(description, STEP_TIMEOUT, condition);
		recordEvent("seen: " + description);
	}

	/**
	 * Waits until callers got more whole answers.
	 * @param count how many more
	 */
	void awaitAnswers(int count) {
		long target = this.load.count(CallRecord.Outcome.WHOLE) + count;
		await(count + " more whole answers", () -> this.load.count(CallRecord.Outcome.WHOLE) >= target);
	}

	/**
	 * Waits until callers got more whole answers from one entry.
	 * @param entry the entry
	 * @param count how many more
	 */
	void awaitAnswersFrom(String entry, int count) {
		long target = answersFrom(entry) + count;
		await(count + " more whole answers from " + entry, () -> answersFrom(entry) >= target);
	}

	private long answersFrom(String entry) {
		return this.load.records()
			.stream()
			.filter((call) -> call.entry().equals(entry) && call.outcome() == CallRecord.Outcome.WHOLE)
			.count();
	}

	/**
	 * Waits until an entry has requests in progress.
	 * @param entry the entry
	 */
	void awaitInProgress(String entry) {
		await("requests in progress at " + entry, () -> this.load.inProgress(entry) >= 2);
	}

	/**
	 * Returns the incarnation of an entry that runs now.
	 * @param process the name
	 * @return the incarnation
	 * @throws Exception when it cannot be read
	 */
	String incarnation(String process) throws Exception {
		ProcessRow row = this.fleet.admin()
			.newestProcess(process)
			.orElseThrow(() -> new AssertionError(process + " is not registered"));
		return row.member().incarnation();
	}

	/**
	 * Waits until an incarnation was closed.
	 * @param incarnation the incarnation
	 */
	void awaitClosed(String incarnation) {
		await(incarnation + " is closed", () -> this.fleet.admin().isClosed(incarnation));
	}

	/**
	 * Changes the faults of the platform.
	 * @param change the JSON object of the change
	 * @throws IOException when it is not accepted
	 */
	void setPlatformFaults(String change) throws IOException {
		recordEvent("platform faults " + change.strip());
		this.fleet.standins().setPlatformFaults(change);
	}

	/**
	 * Ends all faults and callers, waits until every execution has its receipt, and
	 * checks the history.
	 * @return the history
	 * @throws IOException when records cannot be read
	 * @throws AssertionError when a check fails
	 */
	History finish() throws IOException {
		setPlatformFaults(NO_FAULTS);
		this.fleet.heal();
		this.load.close();
		recordEvent("load stopped");
		AssertionError timeout = null;
		try {
			await("every execution has a receipt", () -> History.read(this.fleet.standins()).incompleteRequestIds().isEmpty());
		}
		catch (AssertionError ex) {
			timeout = ex;
		}
		History history = History.read(this.fleet.standins());
		LedgerChecker checker = new LedgerChecker(history, this.load.records());
		List<String> violations = new ArrayList<>(checker.check());
		if (timeout != null) {
			violations.add(timeout.getMessage());
		}
		System.out.println(this.name + " seed " + this.seed + ": " + checker.summary());
		if (!violations.isEmpty()) {
			throw writeFailure(violations.size() + " violations, first: "
					+ String.join("\n", violations.subList(0, Math.min(5, violations.size()))), violations);
		}
		return history;
	}

	/**
	 * Writes the history to a file and returns the failure that names it.
	 * @param message what is wrong
	 * @param violations all that is wrong
	 * @return the failure
	 * @throws IOException when the file cannot be written
	 */
	AssertionError writeFailure(String message, List<String> violations) throws IOException {
		Path directory = Files.createDirectories(Path.of("target", "itest-history"));
		Path file = directory.resolve(this.name + "-" + this.seed + "-" + System.currentTimeMillis() + ".txt");
		List<String> lines = new ArrayList<>(List.of("scenario " + this.name + " seed " + this.seed));
		violations.forEach((violation) -> lines.add("violation " + violation));
		this.events.forEach((event) -> lines.add("event " + event));
		this.load.records().forEach((call) -> lines.add("call " + call));
		try {
			History history = History.read(this.fleet.standins());
			history.executions().forEach((execution) -> lines.add("execution " + execution));
			history.writes().forEach((write) -> lines.add("write " + write));
		}
		finally {
			Files.write(file, lines);
		}
		return new AssertionError(message + "\nThe history is in " + file.toAbsolutePath() + ", the logs are in "
				+ this.fleet.outputDirectory());
	}

	@Override
	public void close() {
		this.load.close();
		this.fleet.close();
	}

}
