package io.verbenacleat.core.platform;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class TransactionLimitsTests {

	private static final TransactionLimits LIMITS = new TransactionLimits(6, 2_000, 100, 10);

	@DataProvider
	public Object[][] transactions() {
		return new Object[][] { { puts(3, "1"), "" }, { puts(4, "1"), "8 entries" },
				{ Transaction.builder().deleteIf("a", 1).deleteIf("b", 1).deleteIf("c", 1).deleteIf("d", 1).build(),
						"8 entries" },
				{ puts(1, "x".repeat(100)), "" }, { puts(1, "x".repeat(101)), "a row of 101 bytes" },
				{ puts(1, "\u00e4".repeat(51)), "a row of 102 bytes" },
				{ Transaction.builder().insert("k".repeat(11), "1").build(), "a key of 11 bytes" } };
	}

	@Test(dataProvider = "transactions")
	public void theExceededBoundIsNamed(Transaction transaction, String violation) {
		assertEquals(LIMITS.violation(transaction).isPresent(), !violation.isEmpty());
		assertTrue(LIMITS.violation(transaction).orElse("").startsWith(violation));
	}

	// Guards against stand-ins that accept what the platform rejects for ever.
	@Test
	public void aTransactionOverTheLimitsIsNeverApplied() {
		InMemoryTableStore store = new InMemoryTableStore();
		WriteOutcome outcome = store.transact(puts(51, "1")).join();
		assertTrue(outcome instanceof WriteOutcome.NotApplied notApplied && notApplied.isPermanent());
		assertFalse(store.read("0").join().exists());
	}

	// Guards against a writer that chooses more rows than fit, and against one that has
	// no room left after it has halved its limits.
	@Test
	public void theRoomEndsAtTheLimits() {
		for (TransactionLimits limits : new TransactionLimits[] { LIMITS, LIMITS.halved(), LIMITS.halved().halved() }) {
			TransactionRoom room = new TransactionRoom(limits);
			Transaction.Builder transaction = Transaction.builder();
			int rows = 0;
			while (room.tryPut("k" + rows, 100)) {
				transaction.insert("k" + rows, "x".repeat(100));
				rows++;
			}
			assertTrue(rows >= 2, "rows: " + rows);
			assertEquals(limits.violation(transaction.build()).orElse(""), "");
		}
	}

	private static Transaction puts(int count, String json) {
		Transaction.Builder builder = Transaction.builder();
		for (int i = 0; i < count; i++) {
			builder.insert(Integer.toString(i), json);
		}
		return builder.build();
	}

}
