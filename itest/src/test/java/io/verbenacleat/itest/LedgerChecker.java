package io.verbenacleat.itest;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import io.verbenacleat.core.account.Account;
import io.verbenacleat.core.account.Grant;
import io.verbenacleat.core.journal.JournalReceipt;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.member.ProcessRow;

/**
 * Checks receipts, account rows and the results that callers saw against the executions
 * that the stand-ins recorded. An instance checks one history once. Not thread-safe.
 */
final class LedgerChecker {

	private static final String TAKEN_OVER = "TAKEN_OVER";

	private final List<String> violations = new ArrayList<>();

	private final History history;

	private final Map<String, List<JournalReceipt>> receipts;

	private final List<CallRecord> calls;

	/**
	 * Creates a checker.
	 * @param history the history after all requests have ended
	 * @param calls the requests as the callers saw them
	 * @throws IOException when a row cannot be read
	 */
	LedgerChecker(History history, List<CallRecord> calls) throws IOException {
		this.history = history;
		this.receipts = history.receipts();
		this.calls = List.copyOf(calls);
	}

	/**
	 * Runs all checks.
	 * @return a description of each violation, empty when there is none
	 * @throws IOException when a row cannot be read
	 */
	List<String> check() throws IOException {
		checkSpendWithinTopUps();
		checkAccountRows();
		checkReceiptsOfExecutions();
		checkExecutionsOfReceipts();
		checkClosedHolders();
		checkBookings();
		checkAnswers();
		return List.copyOf(this.violations);
	}

	/**
	 * Summarizes the history.
	 * @return counts and tokens on one line
	 */
	String summary() {
		List<JournalReceipt> all = this.receipts.values().stream().flatMap(List::stream).toList();
		Map<String, Long> byStatus = all.stream()
			.collect(Collectors.groupingBy(JournalReceipt::status, Collectors.counting()));
		Map<CallRecord.Outcome, Long> byOutcome = this.calls.stream()
			.collect(Collectors.groupingBy(CallRecord::outcome, Collectors.counting()));
		long heldTokens = all.stream().mapToLong(JournalReceipt::heldTokens).sum();
		long executedTokens = this.history.executions().stream().mapToLong(History.Execution::totalTokens).sum();
		return "calls " + byOutcome + ", executions " + this.history.executions().size() + " with " + executedTokens
				+ " tokens, receipts " + byStatus + ", held " + heldTokens + " tokens, taken over " + takenOver(all)
				+ ", uncounted " + uncountedTokens() + " tokens";
	}

	// Checks each prefix of the history. Tokens are reserved before a request starts, so
	// all
	// tokens of a request count from its start.
	private void checkSpendWithinTopUps() throws IOException {
		List<History.Write> topUps = this.history.topUps();
		List<History.Execution> executionsByStart = this.history.executions()
			.stream()
			.sorted(Comparator.comparingLong(History.Execution::startedAtMs))
			.toList();
		long spentTokens = 0;
		for (History.Execution execution : executionsByStart) {
			spentTokens += execution.totalTokens();
			long acceptedTokens = 0;
			for (History.Write topUp : topUps) {
				if (topUp.atMs() <= execution.startedAtMs()) {
					acceptedTokens += Json.mapper().readTree(topUp.json()).path("tokens").asLong();
				}
			}
			if (spentTokens > acceptedTokens) {
				addViolation("overspend: " + spentTokens + " tokens of " + acceptedTokens + " after "
						+ execution.requestId());
			}
		}
	}

	private void checkAccountRows() throws IOException {
		for (History.Write write : this.history.writesWithPrefix(Account.key(FleetAdmin.ACCOUNT))) {
			Account account = Json.mapper().readValue(write.json(), Account.class);
			long grantedTokens = account.grants().values().stream().mapToLong(Grant::grantedTokens).sum();
			if (account.settledTokens() + account.heldTokens() + grantedTokens > account.toppedUpTokens()) {
				addViolation("account row of transaction " + write.sequence() + " exceeds the budget: " + write.json());
			}
		}
	}

	private void checkReceiptsOfExecutions() {
		Set<String> requestIds = new HashSet<>();
		for (History.Execution execution : this.history.executions()) {
			if (!requestIds.add(execution.requestId())) {
				addViolation("executed twice: " + execution);
			}
			List<JournalReceipt> found = this.receipts.getOrDefault(execution.requestId(), List.of());
			if (found.size() != 1) {
				addViolation(found.size() + " receipts for " + execution + ": " + found);
			}
			else {
				checkTokens(execution, found.get(0));
			}
		}
	}

	// Engines report usage only at the end of a stream. Without usage, the bill must
	// at least cover the generated tokens.
	private void checkTokens(History.Execution execution, JournalReceipt receipt) {
		boolean equal = receipt.billedTokens() == execution.totalTokens() && receipt.heldTokens() == 0;
		boolean covered = receipt.billedTokens() + receipt.heldTokens() >= execution.totalTokens();
		if ((receipt.status().equals("COMPLETE")) ? !equal : !covered) {
			addViolation("receipt differs from " + execution + ": " + receipt);
		}
	}

	private void checkExecutionsOfReceipts() {
		Set<String> executed = this.history.executions()
			.stream()
			.map(History.Execution::requestId)
			.collect(Collectors.toSet());
		for (List<JournalReceipt> group : this.receipts.values()) {
			for (JournalReceipt receipt : group) {
				boolean held = receipt.status().equals(TAKEN_OVER) && receipt.heldTokens() > 0;
				if (!executed.contains(receipt.requestId()) && !held) {
					addViolation("receipt without execution: " + receipt);
				}
			}
			if (group.size() > 1 && !executed.contains(group.get(0).requestId())) {
				addViolation("several receipts: " + group);
			}
		}
	}

	private void checkClosedHolders() throws IOException {
		Map<String, History.Write> closingWrites = new HashMap<>();
		for (History.Write write : this.history.writes()) {
			if (write.key().startsWith(ProcessRow.KEY_PREFIX)) {
				ProcessRow row = Json.mapper().readValue(write.json(), ProcessRow.class);
				if (row.state() != ProcessRow.State.OPEN) {
					closingWrites.putIfAbsent(row.member().incarnation(), write);
				}
			}
			else if (write.key().startsWith(JournalRow.KEY_PREFIX)) {
				History.Write closed = closingWrites.get(write.key().split("/")[1]);
				if (closed != null && closed.sequence() < write.sequence()) {
					addViolation("journal row after the holder was closed: " + write);
				}
			}
		}
	}

	private void checkBookings() {
		Map<String, Long> executionCounts = this.history.executions()
			.stream()
			.filter(History.Execution::isBooking)
			.collect(Collectors.groupingBy(History.Execution::idempotencyKey, Collectors.counting()));
		executionCounts.forEach((key, count) -> {
			if (count != 1) {
				addViolation("booking " + key + " ran " + count + " times");
			}
		});
		Map<String, Set<String>> answers = new HashMap<>();
		for (CallRecord call : this.calls) {
			if (call.kind() == CallRecord.Kind.BOOKING && call.outcome() == CallRecord.Outcome.WHOLE) {
				answers.computeIfAbsent(call.idempotencyKey(), (key) -> new HashSet<>()).add(call.detail());
			}
		}
		answers.forEach((key, texts) -> {
			if (texts.size() != 1 || !executionCounts.containsKey(key)) {
				addViolation(
						"booking " + key + " has answers " + texts + " and ran " + executionCounts.get(key) + " times");
			}
		});
	}

	private void checkAnswers() {
		Map<String, History.Execution> executed = new HashMap<>();
		this.history.executions().forEach((execution) -> executed.put(execution.requestId(), execution));
		for (CallRecord call : this.calls) {
			boolean wasExecuted = executed.containsKey(call.requestId());
			if (call.outcome() == CallRecord.Outcome.FOREIGN) {
				addViolation("not the caller's own answer: " + call);
			}
			if (call.outcome() == CallRecord.Outcome.NOT_RUN && (wasExecuted || call.requestId().isEmpty())) {
				addViolation("answered not-run but ran, or without request id: " + call);
			}
			if (call.outcome() == CallRecord.Outcome.NOT_RUN && this.receipts.containsKey(call.requestId())) {
				addViolation("answered not-run but has a receipt: " + call);
			}
			if (call.outcome() == CallRecord.Outcome.WHOLE && call.kind() == CallRecord.Kind.CHAT && !wasExecuted) {
				addViolation("whole answer without execution: " + call);
			}
		}
	}

	private long uncountedTokens() {
		long tokens = 0;
		for (History.Execution execution : this.history.executions()) {
			for (JournalReceipt receipt : this.receipts.getOrDefault(execution.requestId(), List.of())) {
				if (!execution.isBooking() && !receipt.status().equals(TAKEN_OVER)) {
					tokens += Math.max(0, execution.answerTokens() - receipt.answerTokens());
				}
			}
		}
		return tokens;
	}

	private static List<String> takenOver(List<JournalReceipt> all) {
		return all.stream()
			.filter((receipt) -> receipt.status().equals(TAKEN_OVER))
			.map((receipt) -> receipt.requestId() + " billed " + receipt.billedTokens() + " held "
					+ receipt.heldTokens())
			.toList();
	}

	private void addViolation(String text) {
		this.violations.add(text);
	}

}
