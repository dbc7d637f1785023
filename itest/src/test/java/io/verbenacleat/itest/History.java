package io.verbenacleat.itest;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import io.verbenacleat.core.journal.JournalReceipt;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.json.Json;

/**
 * The records of the stand-ins: the executed requests, and the rows that the table
 * service wrote, such as receipts, top-ups and states of processes. Immutable.
 *
 * @param executions the executed requests of the engines and the booking service
 * @param writes all written rows, in the order in which their transactions were applied
 */
record History(List<Execution> executions, List<Write> writes) {

	private static final String TOP_UP_PREFIX = "topup/" + FleetAdmin.ACCOUNT + "/";

	private static final long BOOKING_PRICE_TOKENS = 5;

	/**
	 * Reads the records of all stand-ins.
	 * @param standins the client of the stand-ins
	 * @return the history
	 * @throws IOException when records cannot be read
	 */
	static History read(StandinClient standins) throws IOException {
		List<Execution> executions = new ArrayList<>();
		for (String engine : List.of("engine-1", "engine-2")) {
			for (JsonNode call : standins.records(engine).path("requests")) {
				executions.add(new Execution(call.path("requestId").asText(), "", call.path("promptTokens").asLong(),
						call.path("generatedTokens").asLong(), call.path("startedAtMs").asLong(),
						call.path("finishedAtMs").asLong()));
			}
		}
		for (JsonNode call : standins.records("booking-1").path("calls")) {
			long atMs = call.path("atMs").asLong();
			executions.add(new Execution(call.path("requestId").asText(), call.path("idempotencyKey").asText(),
					BOOKING_PRICE_TOKENS, 0, atMs, atMs));
		}
		List<Write> writes = new ArrayList<>();
		for (JsonNode transaction : standins.records("platform").path("transactions")) {
			for (JsonNode put : transaction.path("puts")) {
				writes.add(new Write(transaction.path("sequence").asLong(), transaction.path("atMs").asLong(),
						put.path("key").asText(), put.path("json").asText()));
			}
		}
		return new History(List.copyOf(executions), List.copyOf(writes));
	}

	/**
	 * Returns the top-ups of the account.
	 * @return the writes of their rows, in the order of application
	 */
	List<Write> topUps() {
		return writesWithPrefix(TOP_UP_PREFIX);
	}

	/**
	 * Returns the writes whose keys have a prefix.
	 * @param prefix the prefix of the key
	 * @return the writes in the order of application
	 */
	List<Write> writesWithPrefix(String prefix) {
		return this.writes.stream().filter((write) -> write.key().startsWith(prefix)).toList();
	}

	/**
	 * Returns the receipts in the last versions of all journal rows and final journal
	 * rows.
	 * @return the receipts by request id
	 * @throws IOException when a row cannot be read
	 */
	Map<String, List<JournalReceipt>> receipts() throws IOException {
		Map<String, String> rows = new LinkedHashMap<>();
		writesWithPrefix(JournalRow.KEY_PREFIX).forEach((write) -> rows.put(write.key(), write.json()));
		writesWithPrefix(JournalRow.FINAL_KEY_PREFIX).forEach((write) -> rows.put(write.key(), write.json()));
		Map<String, List<JournalReceipt>> receipts = new LinkedHashMap<>();
		for (String json : rows.values()) {
			for (JournalReceipt receipt : Json.mapper().readValue(json, JournalRow.class).receipts()) {
				receipts.computeIfAbsent(receipt.requestId(), (id) -> new ArrayList<>()).add(receipt);
			}
		}
		return receipts;
	}

	/**
	 * Returns the requests that are still running or were executed but have no receipt
	 * yet.
	 * @return the request ids
	 * @throws IOException when a row cannot be read
	 */
	Set<String> incompleteRequestIds() throws IOException {
		Map<String, List<JournalReceipt>> receipts = receipts();
		Set<String> incomplete = new HashSet<>();
		for (Execution execution : this.executions) {
			if (execution.finishedAtMs() == 0 || !receipts.containsKey(execution.requestId())) {
				incomplete.add(execution.requestId());
			}
		}
		return incomplete;
	}

	/**
	 * A request that a stand-in executed. Immutable.
	 *
	 * @param requestId the request id
	 * @param idempotencyKey the idempotency key of a booking, empty for a chat request
	 * @param promptTokens the tokens of the prompt, or the price of a booking in tokens
	 * @param answerTokens the generated tokens, 0 for a booking
	 * @param startedAtMs when execution started, in milliseconds since the epoch
	 * @param finishedAtMs when execution ended, in milliseconds since the epoch, 0 while
	 * it runs
	 */
	record Execution(String requestId, String idempotencyKey, long promptTokens, long answerTokens, long startedAtMs,
			long finishedAtMs) {

		/**
		 * Returns the sum of prompt and answer tokens.
		 * @return the tokens
		 */
		long totalTokens() {
			return this.promptTokens + this.answerTokens;
		}

		/**
		 * Returns whether this is a booking.
		 * @return {@code false} for a chat request
		 */
		boolean isBooking() {
			return !this.idempotencyKey.isEmpty();
		}

	}

	/**
	 * A row that a transaction wrote. Immutable.
	 *
	 * @param sequence the position of the transaction in the order of application
	 * @param atMs when the transaction was applied, in milliseconds since the epoch
	 * @param key the key of the row
	 * @param json the value of the row
	 */
	record Write(long sequence, long atMs, String key, String json) {
	}

}
