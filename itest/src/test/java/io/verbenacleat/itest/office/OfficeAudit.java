package io.verbenacleat.itest.office;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import io.verbenacleat.core.account.Account;
import io.verbenacleat.core.journal.JournalReceipt;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.PlatformException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.standins.BookingCall;
import io.verbenacleat.standins.CompletionRecord;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Checks the history of a fleet after all its processes have stopped: replies against the
 * records of the backend servers, and these records against receipts and accounts. Not
 * thread-safe.
 */
final class OfficeAudit {

	private static final int SCAN_ROWS = 1_000;

	private final OfficeFixture office;

	OfficeAudit(OfficeFixture office) {
		this.office = office;
	}

	/**
	 * Checks that no request answered not-run was executed, that each executed request
	 * has one receipt, and that the billed tokens of each account stay within its top-ups
	 * and equal the top-ups less the balance.
	 * @throws Exception when rows cannot be read
	 */
	void check() throws Exception {
		Map<String, CompletionRecord> executed = engineExecutions();
		Map<String, Integer> executedBookings = bookingExecutions();
		List<JournalReceipt> receipts = receipts();
		checkNotRun(executed, executedBookings);
		checkBilledOnce(executed, executedBookings, receipts);
		checkBudget(receipts);
	}

	/**
	 * Reads all receipts, of journal rows and final journal rows.
	 * @return the receipts
	 */
	List<JournalReceipt> receipts() throws PlatformException, JsonFormatException {
		List<JournalReceipt> receipts = new ArrayList<>();
		for (String prefix : List.of(JournalRow.KEY_PREFIX, JournalRow.FINAL_KEY_PREFIX)) {
			List<Row> rows = this.office.blockingTables.scan(prefix, "", SCAN_ROWS);
			assertTrue(rows.size() < SCAN_ROWS, "more journal rows than one scan returns");
			for (Row row : rows) {
				receipts.addAll(Json.read(row.json(), JournalRow.class).receipts());
			}
		}
		return receipts;
	}

	private void checkNotRun(Map<String, CompletionRecord> executed, Map<String, Integer> executedBookings) {
		int notRunCount = 0;
		for (Reply reply : this.office.caller.replies()) {
			if (reply.outcome().equals("not-run")) {
				notRunCount++;
				assertTrue(!executed.containsKey(reply.requestId()) && !executedBookings.containsKey(reply.requestId()),
						"answered not-run, but was executed: " + reply);
			}
		}
		System.out.printf("audit: %d replies, %d of them not-run, %d engine runs, %d bookings%n",
				this.office.caller.replies().size(), notRunCount, executed.size(), executedBookings.size());
	}

	private static void checkBilledOnce(Map<String, CompletionRecord> executed, Map<String, Integer> executedBookings,
			List<JournalReceipt> receipts) {
		Map<String, JournalReceipt> bills = new HashMap<>();
		for (JournalReceipt receipt : receipts) {
			JournalReceipt before = bills.put(receipt.requestId(), receipt);
			assertEquals(before, null, "two receipts of one request");
		}
		executed.forEach((requestId, run) -> {
			JournalReceipt bill = bills.get(requestId);
			assertTrue(bill != null, "executed without a receipt: " + run);
			if (bill != null && bill.status().equals("COMPLETE")) {
				assertEquals(bill.billedTokens(), run.promptTokens() + run.generatedTokens(), "bill of " + run);
			}
		});
		executedBookings.keySet()
			.forEach(
					(requestId) -> assertTrue(bills.containsKey(requestId), "booking without a receipt: " + requestId));
	}

	private void checkBudget(List<JournalReceipt> receipts) throws Exception {
		for (Account account : this.office.accounts.list()) {
			long billedTokens = receipts.stream()
				.filter((receipt) -> receipt.account().equals(account.id()))
				.mapToLong((receipt) -> receipt.billedTokens() + receipt.heldTokens())
				.sum();
			assertTrue(billedTokens <= account.toppedUpTokens(), "overspend: " + billedTokens + " of " + account);
			assertEquals(account.toppedUpTokens() - account.balanceTokens(), billedTokens, "bill of " + account);
		}
	}

	private Map<String, CompletionRecord> engineExecutions() {
		Map<String, CompletionRecord> executed = new HashMap<>();
		Stream.concat(this.office.engines.stream(), Stream.of(this.office.runaway))
			.flatMap((engine) -> engine.records().stream())
			.forEach((run) -> assertEquals(executed.put(run.requestId(), run), null, "request executed twice"));
		return executed;
	}

	private Map<String, Integer> bookingExecutions() {
		Map<String, Integer> executedBookings = new HashMap<>();
		for (BookingCall call : this.office.booking.records()) {
			int count = executedBookings.merge(call.requestId(), 1, Integer::sum);
			assertEquals(count, 1, "booking executed twice");
		}
		return executedBookings;
	}

}
