package io.verbenacleat.bench.control;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.account.Account;
import io.verbenacleat.core.account.Callers;
import io.verbenacleat.core.config.BudgetConfig;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.TransactionLimits;
import io.verbenacleat.entry.budget.AdaptiveGrantPolicy;
import io.verbenacleat.entry.budget.BudgetLedger;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.ReserveRequest;
import io.verbenacleat.proto.v1.SettleRequest;

/**
 * Generates load for a ledger whose accounts are in an in-memory store. Not safe for use
 * by several threads.
 */
final class LedgerLoad {

	private static final String HOLDER = "entry-0-mb1yq2x0-7f3k9d";

	private static final long RESERVED_TOKENS = 4_096;

	private static final long BILLED_TOKENS = 371;

	private static final long BUDGET_TOKENS = 1_000_000_000;

	private final int accounts;

	private final InMemoryTableStore store = new InMemoryTableStore(TransactionLimits.NONE);

	private final ManualControlThread control = new ManualControlThread(Instant.EPOCH.plusSeconds(1_000_000));

	/** Holds the one ledger; empty after it is detached. */
	private final Deque<BudgetLedger> ledgers = new ArrayDeque<>();

	private long requests;

	LedgerLoad(int accounts) {
		this.accounts = accounts;
		put(ProcessRow.key(HOLDER), new ProcessRow(new Member(HOLDER, Member.Role.ENTRY, "10.0.0.1:7000", "10.0.0.1",
				"region", "zone", "site", null, 0, 0), ProcessRow.State.OPEN, null));
		for (int i = 0; i < accounts; i++) {
			put(Account.key(id(i)), Account.create(id(i), "workspace", 3).plusTopUp(BUDGET_TOKENS));
			put(Callers.key(id(i)), new Callers(List.of(new Callers.Caller("caller", "a".repeat(64), 0, null))));
		}
		this.ledgers.add(BudgetLedger.builder()
			.incarnation(HOLDER)
			.address("10.0.0.1:7000")
			.store(this.store)
			.control(this.control)
			.policy(AdaptiveGrantPolicy.of(BudgetConfig.Preset.GUILD))
			.registry(new PrometheusRegistry())
			.build());
	}

	private void put(String key, Object value) {
		this.store.transact(Transaction.builder().insert(key, Json.write(value)).build()).join();
	}

	/**
	 * Sends one request for each account, so that the ledger holds a grant of each, and
	 * advances the time by ten seconds.
	 */
	void requestEachAccount() {
		for (int i = 0; i < this.accounts; i++) {
			request(i);
		}
		advance(Duration.ofSeconds(10));
	}

	/**
	 * Cancels the timers and drops the reference to the ledger.
	 * @return the ledger, to which the caller then holds the only reference
	 */
	Object detachLedger() {
		BudgetLedger detached = this.ledgers.remove();
		detached.close();
		this.control.close();
		return detached;
	}

	/**
	 * Sends requests to the accounts in turn.
	 * @param perSecond the number of requests per second
	 * @param seconds the simulated duration, in seconds
	 */
	void run(int perSecond, int seconds) {
		for (int second = 0; second < seconds; second++) {
			for (int i = 0; i < perSecond; i++) {
				request((int) (this.requests % this.accounts));
			}
			advance(Duration.ofSeconds(1));
		}
	}

	void advance(Duration duration) {
		this.control.advance(duration);
	}

	private void request(int account) {
		String requestId = "req-" + HOLDER + "-" + this.requests++;
		this.ledgers.element()
			.reserve(ReserveRequest.newBuilder()
				.setRequestId(requestId)
				.setGatewayIncarnation(HOLDER)
				.setAccount(id(account))
				.setKeySha256("a".repeat(64))
				.setTokens(RESERVED_TOKENS)
				.build());
		this.control.runPending();
		this.ledgers.element()
			.settle(SettleRequest.newBuilder()
				.addReceipts(Receipt.newBuilder()
					.setRequestId(requestId)
					.setAccount(id(account))
					.setCallerId("caller")
					.setHolderIncarnation(HOLDER)
					.setBackendServer("engine-1")
					.setTarget("quote-drafter")
					.setBilledTokens(BILLED_TOKENS)
					.setStatus(ReceiptStatus.COMPLETE))
				.build());
		this.control.runPending();
	}

	private static String id(int account) {
		return "account-" + account;
	}

}
