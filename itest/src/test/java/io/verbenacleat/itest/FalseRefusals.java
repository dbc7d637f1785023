package io.verbenacleat.itest;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds refusals for lack of budget of requests that the budget could have covered: with
 * the tokens of all requests that were executed, and the bounds of all that were in
 * progress at the time, enough was left for the bound of the refused one.
 */
final class FalseRefusals {

	private FalseRefusals() {
	}

	/**
	 * Finds the false refusals of a run with one top-up.
	 * @param history the history at rest
	 * @param calls what the callers saw
	 * @return the calls that were refused
	 */
	static List<CallRecord> find(History history, List<CallRecord> calls) {
		Map<String, History.Execution> executed = new HashMap<>();
		history.executions().forEach((execution) -> executed.put(execution.requestId(), execution));
		long toppedUpTokens = history.topUps()
			.stream()
			.mapToLong((write) -> Long.parseLong(write.json().replaceAll(".*\"tokens\":(\\d+).*", "$1")))
			.sum();
		return calls.stream()
			.filter((call) -> call.detail().startsWith("insufficient_quota")
					|| call.detail().startsWith("budget_reserved"))
			.filter((refused) -> toppedUpTokens - usedTokens(refused, calls, executed) >= refused.boundTokens())
			.toList();
	}

	private static long usedTokens(CallRecord refused, List<CallRecord> calls,
			Map<String, History.Execution> executed) {
		long tokens = 0;
		for (CallRecord call : calls) {
			if (call == refused || call.startedAtMs() > refused.endedAtMs()) {
				continue;
			}
			History.Execution execution = executed.get(call.requestId());
			if (call.endedAtMs() >= refused.startedAtMs()) {
				tokens += call.boundTokens();
			}
			else if (execution != null) {
				tokens += execution.totalTokens();
			}
		}
		return tokens;
	}

}
