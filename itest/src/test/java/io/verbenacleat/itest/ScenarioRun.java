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
 * One run of a scenario: starts a fleet with an account and load, records the events of
 * the scenario, and checks the history at the end. Not thread-safe.
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
	 * Starts a fleet and the load on it.
	 * @param name the name of the scenario
	 * @param seed the seed of all random choices
	 * @param budgetTokens the tokens of the first top-up
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
	 * Returns the load on the fleet.
	 * @return the load generator
	 */
	LoadGenerator load() {
		return this.load;
	}

	/**
	 * Returns the client that sends single requests.
	 * @return the client
	 */
	Caller caller() {
		return this.caller;
	}

	/**
	 * Chooses one of two processes at random, as the seed determines.
	 * @param first the name of a process
	 * @param second the name of another process
	 * @return one of the names
	 */
	String choose(String first, String second) {
		return (this.random.nextBoolean()) ? first : second;
	}

	/**
	 * Records an event with the current time, for the file that {@link #writeFailure}
	 * writes.
	 * @param text the event in words
	 */
	void recordEvent(String text) {
		this.events.add(Instant.now() + " " + text);
	}

	/**
	 * Waits until a condition holds.
	 * @param description the condition in words
	 * @param condition the condition
	 * @throws AssertionError when it does not hold within 90 s
	 */
	void await(String description, Await.Condition condition) {
		Await.until(description, STEP_TIMEOUT, condition);
		recordEvent("seen: " + description);
	}

	/**
	 * Waits until callers have received a number of further complete answers.
	 * @param count the number of answers
	 */
	void awaitAnswers(int count) {
		long target = this.load.count(CallRecord.Outcome.WHOLE) + count;
		await(count + " more whole answers", () -> this.load.count(CallRecord.Outcome.WHOLE) >= target);
	}

	/**
	 * Waits until callers have received a number of further complete answers from an
	 * entry.
	 * @param entry the name of the entry
	 * @param count the number of answers
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
	 * Waits until an entry has at least two requests in progress.
	 * @param entry the name of the entry
	 */
	void awaitInProgress(String entry) {
		await("requests in progress at " + entry, () -> this.load.inProgress(entry) >= 2);
	}

	/**
	 * Returns the newest incarnation of a process.
	 * @param process the name of the process
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
	 * Waits until an incarnation is closed.
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
	 * Ends all faults and the load, waits until every execution has a receipt, and checks
	 * the history.
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
			await("every execution has a receipt",
					() -> History.read(this.fleet.standins()).incompleteRequestIds().isEmpty());
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
	 * Writes the history to a file and creates an error that names the file.
	 * @param message the message of the error
	 * @param violations all violations, for the file
	 * @return the error to throw
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
