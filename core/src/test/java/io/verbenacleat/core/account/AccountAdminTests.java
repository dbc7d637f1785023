package io.verbenacleat.core.account;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import io.verbenacleat.core.head.Head;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.platform.BlockingTableStore;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.core.platform.PlatformUnavailableException;
import io.verbenacleat.core.platform.Transaction;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;

/**
 * Guards against budgets that are raised or settled twice and against callers without a
 * change notice when operations are repeated or answers are lost.
 */
public class AccountAdminTests {

	private InMemoryTableStore table = new InMemoryTableStore();

	private BlockingTableStore store = new BlockingTableStore(this.table, Duration.ofSeconds(10));

	private AccountAdmin accounts = new AccountAdmin(this.store, Clock.systemUTC());

	private CallerAdmin callers = new CallerAdmin(this.store, Clock.systemUTC(), new Random(1));

	@BeforeMethod
	public void setUp() {
		this.table = new InMemoryTableStore();
		this.store = new BlockingTableStore(this.table, Duration.ofSeconds(10));
		this.accounts = new AccountAdmin(this.store, Clock.systemUTC());
		this.callers = new CallerAdmin(this.store, Clock.systemUTC(), new Random(1));
	}

	@Test
	public void createSurvivesLostAnswerAndRefusesSecond() throws Exception {
		this.table.loseNextAnswers(1);
		this.accounts.create("bench", "quotes", 3);
		assertThrows(AccountExistsException.class, () -> this.accounts.create("bench", "quotes", 3));
		assertThrows(InvalidNameException.class, () -> this.accounts.create("Bench", "quotes", 3));
		assertThrows(UnknownAccountException.class, () -> this.accounts.read("other"));
		assertEquals(this.accounts.list().size(), 1);
	}

	/**
	 * Guards against a balance that leaves out what a closed holder spent, and against
	 * held tokens that cannot be settled, while nobody uses the account.
	 */
	@Test
	public void figuresContainTheGrantsOfClosedHolders() throws Exception {
		Grant lost = new Grant("127.0.0.1:1", 400, 0, 0, 1, 30, 0);
		Account row = Account.create("bench", "quotes", 0)
			.plusTopUp(1000)
			.withGrant("closed", lost)
			.withGrant("open", new Grant("127.0.0.1:2", 200, 50, 0, 1));
		JournalRow last = new JournalRow(List.of(), Map.of("bench", 130L), Map.of("bench", 7L));
		this.table
			.transact(Transaction.builder()
				.insert(Account.key("bench"), Json.write(row))
				.insert(JournalRow.finalKey("closed"), Json.write(last))
				.build())
			.join();
		assertEquals(this.accounts.read("bench").balanceTokens(), 1000 - 100 - 7 - 50);
		assertEquals(this.accounts.list().get(0), this.accounts.read("bench"));
		assertEquals(this.accounts.settleHeld("bench", "first", 3).settledTokens(), 103);
		assertEquals(this.accounts.read("bench").grants().keySet(), Set.of("open"));
		assertEquals(this.accounts.read("bench").balanceTokens(), 1000 - 103 - 50);
	}

	@Test
	public void repeatedTopUpsWithLostAnswersCountOnce() throws Exception {
		this.accounts.create("bench", "quotes", 0);
		ExecutorService threads = Executors.newFixedThreadPool(6);
		try {
			List<Future<Account>> calls = new ArrayList<>();
			for (int i = 0; i < 120; i++) {
				String id = "top-up-" + (i % 20);
				int lost = i % 3;
				calls.add(threads.submit(() -> {
					this.table.loseNextAnswers(lost);
					return this.accounts.topUp("bench", id, 100);
				}));
			}
			for (Future<Account> call : calls) {
				call.get();
			}
		}
		finally {
			threads.shutdownNow();
		}
		assertEquals(this.accounts.read("bench").toppedUpTokens(), 2000);
		assertThrows(TopUpMismatchException.class, () -> this.accounts.topUp("bench", "top-up-1", 101));
		assertThrows(InvalidTokensException.class, () -> this.accounts.topUp("bench", "new", 0));
		assertThrows(InvalidTokensException.class, () -> this.accounts.topUp("bench", "new", Long.MAX_VALUE));
		assertThrows(InvalidNameException.class, () -> this.accounts.topUp("bench", "a/b", 1));
		assertThrows(UnknownAccountException.class, () -> this.accounts.topUp("other", "new", 1));
	}

	@Test(dataProvider = "deliveries")
	public void delayedWritesNeverCountTwice(int delayedWrites, int deliverBeforeWrite) throws Exception {
		this.accounts.create("bench", "quotes", 0);
		DelayingTableStore delaying = new DelayingTableStore(this.table);
		AccountAdmin admin = new AccountAdmin(new BlockingTableStore(delaying, Duration.ofSeconds(10)),
				Clock.systemUTC());
		delaying.delay(delayedWrites, deliverBeforeWrite);
		assertEquals(admin.topUp("bench", "t1", 100).toppedUpTokens(), 100);
		delaying.deliver();
		assertEquals(this.accounts.topUp("bench", "t1", 100).toppedUpTokens(), 100);
	}

	@DataProvider
	public Object[][] deliveries() {
		return new Object[][] { { 1, 0 }, { 1, 1 }, { 3, 0 }, { 3, 1 } };
	}

	@Test
	public void unansweredWritesEndAfterABoundedNumberOfTries() throws Exception {
		this.accounts.create("bench", "quotes", 0);
		DelayingTableStore delaying = new DelayingTableStore(this.table);
		AccountAdmin admin = new AccountAdmin(new BlockingTableStore(delaying, Duration.ofSeconds(10)),
				Clock.systemUTC());
		delaying.delay(Integer.MAX_VALUE, 0);
		PlatformUnavailableException ex = expectThrows(PlatformUnavailableException.class,
				() -> admin.topUp("bench", "t1", 100));
		assertEquals(ex.getMessage(), "The write has an unknown outcome after 32 tries");
		delaying.deliver();
		assertEquals(this.accounts.read("bench").toppedUpTokens(), 100);
	}

	@Test
	public void settlementCountsOnce() throws Exception {
		Account held = Account.create("bench", "quotes", 0).plusTopUp(1000).withClosedGrant("holder", 100, 50);
		this.store.transact(Transaction.builder().insert(Account.key("bench"), Json.write(held)).build());
		assertThrows(InvalidTokensException.class, () -> this.accounts.settleHeld("bench", "s1", 51));
		this.table.loseNextAnswers(1);
		Account settled = this.accounts.settleHeld("bench", "s1", 20);
		assertEquals(settled.settledTokens(), 120);
		assertEquals(settled.heldTokens(), 0);
		assertEquals(this.accounts.settleHeld("bench", "s1", 20), settled);
		assertThrows(SettlementMismatchException.class, () -> this.accounts.settleHeld("bench", "s1", 21));
	}

	@Test
	public void callerChangesRaiseTheTopicOnce() throws Exception {
		this.accounts.create("bench", "quotes", 0);
		this.table.loseNextAnswers(1);
		CallerKey key = this.callers.create("bench", "desk");
		Callers.Caller caller = Objects.requireNonNull(this.callers.list("bench").findByHash(key.sha256()));
		assertNull(caller.revokedAtMs());
		assertThrows(CallerExistsException.class, () -> this.callers.create("bench", "desk"));
		this.table.loseNextAnswers(1);
		assertNotNull(this.callers.revoke("bench", "desk").revokedAtMs());
		this.callers.revoke("bench", "desk");
		assertThrows(UnknownCallerException.class, () -> this.callers.revoke("bench", "other"));
		assertEquals(Json.read(this.store.read(Head.KEY).json(), Head.class).version(Head.CALLERS), 2);
		assertEquals(Json.read(this.store.read(CallerChanges.KEY).json(), CallerChanges.class).changes().size(), 2);
	}

	@Test
	public void refusalOfTheStoreIsReported() {
		this.table.setAvailable(false);
		assertThrows(PlatformUnavailableException.class, () -> this.accounts.create("bench", "quotes", 0));
	}

}
