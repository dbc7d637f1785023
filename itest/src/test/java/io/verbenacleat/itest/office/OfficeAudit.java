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
 * Checks the history of an office after all its processes have stopped: replies against
 * the records of the backend servers, and those against the bills. Not safe for use by
 * several threads.
 */
final class OfficeAudit {

	private static final int SCAN_ROWS = 1_000;

	private final OfficeFixture office;

	OfficeAudit(OfficeFixture office) {
		this.office = office;
	}

	/**
	 * Checks that no request was run that a caller was told was not, that each request
	 * that was run is billed once, and that the bill stays within the budget.
	 * @throws Exception when rows cannot be read
	 */
	void check() throws Exception {
		Map<String, CompletionRecord> ran = ran();
		Map<String, Integer> booked = booked();
		List<JournalReceipt> receipts = receipts();
		checkNotRun(ran, booked);
		checkBilledOnce(ran, booked, receipts);
		checkBudget(receipts);
	}

	List<JournalReceipt> receipts() throws PlatformException, JsonFormatException {
		List<JournalReceipt> receipts = new ArrayList<>();
		for (String prefix : List.of(JournalRow.KEY_PREFIX, JournalRow.FINAL_KEY_PREFIX)) {
			List<Row> rows = this.office.blocking.scan(prefix, "", SCAN_ROWS);
			assertTrue(rows.size() < SCAN_ROWS, "more journal rows than one scan returns");
			for (Row row : rows) {
				receipts.addAll(Json.read(row.json(), JournalRow.class).receipts());
			}
		}
		return receipts;
	}

	private void checkNotRun(Map<String, CompletionRecord> ran, Map<String, Integer> booked) {
		int told = 0;
		for (Reply reply : this.office.caller.replies()) {
			if (reply.outcome().equals("not-run")) {
				told++;
				assertTrue(!ran.containsKey(reply.requestId()) && !booked.containsKey(reply.requestId()),
						"told not run, but was run: " + reply);
			}
		}
		System.out.printf("audit: %d replies, %d of them not-run, %d engine runs, %d bookings%n",
				this.office.caller.replies().size(), told, ran.size(), booked.size());
	}

	private static void checkBilledOnce(Map<String, CompletionRecord> ran, Map<String, Integer> booked,
			List<JournalReceipt> receipts) {
		Map<String, JournalReceipt> bills = new HashMap<>();
		for (JournalReceipt receipt : receipts) {
			JournalReceipt before = bills.put(receipt.requestId(), receipt);
			assertEquals(before, null, "two receipts of one request");
		}
		ran.forEach((requestId, run) -> {
			JournalReceipt bill = bills.get(requestId);
			assertTrue(bill != null, "run without a receipt: " + run);
			if (bill != null && bill.status().equals("COMPLETE")) {
				assertEquals(bill.billedTokens(), run.promptTokens() + run.generatedTokens(), "bill of " + run);
			}
		});
		booked.keySet().forEach((requestId) -> assertTrue(bills.containsKey(requestId), "unbilled " + requestId));
	}

	private void checkBudget(List<JournalReceipt> receipts) throws Exception {
		for (Account account : this.office.accounts.list()) {
			long billedTokens = receipts.stream()
				.filter((receipt) -> receipt.account().equals(account.id()))
				.mapToLong((receipt) -> receipt.billedTokens() + receipt.heldTokens())
				.sum();
			assertTrue(billedTokens <= account.toppedUpTokens(), "overspent: " + billedTokens + " of " + account);
			assertEquals(account.toppedUpTokens() - account.balanceTokens(), billedTokens, "bill of " + account);
		}
	}

	private Map<String, CompletionRecord> ran() {
		Map<String, CompletionRecord> ran = new HashMap<>();
		Stream.concat(this.office.engines.stream(), Stream.of(this.office.runaway))
			.flatMap((engine) -> engine.records().stream())
			.forEach((run) -> assertEquals(ran.put(run.requestId(), run), null, "two runs of one request"));
		return ran;
	}

	private Map<String, Integer> booked() {
		Map<String, Integer> booked = new HashMap<>();
		for (BookingCall call : this.office.booking.records()) {
			int count = booked.merge(call.requestId(), 1, Integer::sum);
			assertEquals(count, 1, "two runs of one booking");
		}
		return booked;
	}

}
