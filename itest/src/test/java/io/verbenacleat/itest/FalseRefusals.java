package io.verbenacleat.itest;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds requests that were refused for lack of budget although the budget covered them. A
 * refusal is false when the topped-up tokens, less the tokens of all requests executed
 * before and the upper bounds of all requests in progress at the time, were enough for
 * the upper bound of the refused request. Stateless.
 */
final class FalseRefusals {

	private FalseRefusals() {
	}

	/**
	 * Finds the false refusals of a run with a single top-up.
	 * @param history the history after all requests have ended
	 * @param calls the requests as the callers saw them
	 * @return the requests that were refused falsely
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
