package io.verbenacleat.entry.budget;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.account.Account;
import io.verbenacleat.core.account.Callers;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.head.Head;
import io.verbenacleat.core.journal.JournalReceipt;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.core.member.ZoneMembers;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.TransactionLimits;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.ReserveRequest;

/**
 * A table store with the rows of a test fleet, and the holders that share it, each with
 * its own control thread. Not safe for use by several threads.
 */
final class TestEnvironment {

	static final String KEY = "hash";

	private static final String ZONE = "zone";

	final InMemoryTableStore store = new InMemoryTableStore(TransactionLimits.NONE);

	void put(String key, Object value) {
		Row row = this.store.read(key).join();
		this.store.transact(Transaction.builder().putIf(key, row.version(), Json.write(value)).build()).join();
	}

	<T> T get(String key, Class<T> type) {
		return parse(this.store.read(key).join(), type);
	}

	boolean exists(String key) {
		return this.store.read(key).join().exists();
	}

	void addAccount(String id, long tokens) {
		put(Account.key(id), Account.create(id, "workspace", 3).plusTopUp(tokens));
		put(Callers.key(id), new Callers(List.of(new Callers.Caller("caller", KEY, 0, null))));
	}

	void topUp(String id, long tokens) {
		put(Account.key(id), account(id).plusTopUp(tokens));
	}

	Account account(String id) {
		return get(Account.key(id), Account.class);
	}

	ProcessRow.State processState(String incarnation) {
		return get(ProcessRow.key(incarnation), ProcessRow.class).state();
	}

	Member register(String incarnation, Member.Role role) {
		// All entries have the same address, so an earlier entry counts as unable to
		// register again.
		String address = (role == Member.Role.AGENT) ? incarnation + ":1" : "entry:1";
		Member unregistered = new Member(incarnation, role, address, "host", "region", ZONE, "site",
				(role == Member.Role.AGENT) ? incarnation : null, 1, 0);
		Row members = this.store.read(ZoneMembers.key(ZONE)).join();
		Row head = this.store.read(Head.KEY).join();
		Member member = unregistered.withRegistration(head.version() + 1);
		ZoneMembers known = (members.exists()) ? parse(members, ZoneMembers.class) : new ZoneMembers(List.of());
		Head topics = (head.exists()) ? parse(head, Head.class) : new Head(Map.of());
		this.store
			.transact(Transaction.builder()
				.insert(ProcessRow.key(incarnation), Json.write(new ProcessRow(member, ProcessRow.State.OPEN, null)))
				.putIf(members.key(), members.version(), Json.write(known.plus(member)))
				.putIf(head.key(), head.version(), Json.write(topics.withNextVersion(members.key())))
				.build())
			.join();
		return member;
	}

	boolean isMember(String incarnation) {
		return get(ZoneMembers.key(ZONE), ZoneMembers.class).members()
			.stream()
			.anyMatch((member) -> member.incarnation().equals(incarnation));
	}

	List<String> closedProcesses() {
		return this.store.scan(ProcessRow.KEY_PREFIX, "", 1_000)
			.join()
			.stream()
			.map((row) -> parse(row, ProcessRow.class))
			.filter((process) -> process.state() == ProcessRow.State.CLOSED)
			.map((process) -> process.member().incarnation())
			.toList();
	}

	/**
	 * Returns the receipts of all journal and final rows.
	 * @return the receipts, with repetitions when several rows have the same one
	 */
	List<JournalReceipt> receipts() {
		List<JournalReceipt> receipts = new ArrayList<>();
		for (String prefix : List.of(JournalRow.KEY_PREFIX, JournalRow.FINAL_KEY_PREFIX)) {
			for (Row row : this.store.scan(prefix, "", 1_000).join()) {
				receipts.addAll(parse(row, JournalRow.class).receipts());
			}
		}
		return receipts;
	}

	Holder holder(String incarnation, GrantPolicy policy) {
		return new Holder(this, incarnation, policy);
	}

	static Receipt receipt(String requestId, String account, String holder, long billedTokens) {
		return Receipt.newBuilder()
			.setRequestId(requestId)
			.setAccount(account)
			.setHolderIncarnation(holder)
			.setBilledTokens(billedTokens)
			.setStatus(ReceiptStatus.COMPLETE)
			.build();
	}

	static ReserveRequest request(String requestId, String account, long tokens) {
		return ReserveRequest.newBuilder()
			.setRequestId(requestId)
			.setGatewayIncarnation("gateway")
			.setAccount(account)
			.setKeySha256(KEY)
			.setTokens(tokens)
			.build();
	}

	private static <T> T parse(Row row, Class<T> type) {
		try {
			return Json.read(row.json(), type);
		}
		catch (JsonFormatException ex) {
			throw new AssertionError(row.key(), ex);
		}
	}

	/**
	 * A ledger with its own control thread and its own faulty connection to the store.
	 */
	static final class Holder {

		final String incarnation;

		final FaultyTableStore store;

		final ManualControlThread control = new ManualControlThread(Instant.EPOCH.plusSeconds(1_000_000));

		final PrometheusRegistry registry = new PrometheusRegistry();

		final BudgetLedger ledger;

		private boolean paused;

		private Holder(TestEnvironment environment, String incarnation, GrantPolicy policy) {
			this.incarnation = incarnation;
			this.store = new FaultyTableStore(environment.store);
			environment.register(incarnation, Member.Role.ENTRY);
			this.ledger = BudgetLedger.builder()
				.incarnation(incarnation)
				.address(incarnation + ":1")
				.store(this.store)
				.control(this.control)
				.policy(policy)
				.registry(this.registry)
				.maxPendingReceipts(50)
				.maxDurableReceipts(3)
				.build();
		}

		void setPaused(boolean paused) {
			this.paused = paused;
		}

		void advanceMs(long ms) {
			if (!this.paused) {
				this.control.advance(Duration.ofMillis(ms));
			}
		}

	}

}
