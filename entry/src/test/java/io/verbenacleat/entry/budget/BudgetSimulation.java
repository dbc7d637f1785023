package io.verbenacleat.entry.budget;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

import io.verbenacleat.core.account.Account;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.journal.JournalReceipt;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.ReleaseRequest;
import io.verbenacleat.proto.v1.ReserveRequest;
import io.verbenacleat.proto.v1.ReserveResponse;
import io.verbenacleat.proto.v1.SettleRequest;
import io.verbenacleat.proto.v1.SettleResponse;

/**
 * Runs ledgers, agents and closers on one table store in numbered steps, and keeps its
 * own record of the executed requests. Not safe for use by several threads.
 */
final class BudgetSimulation {

	private static final List<String> ACCOUNTS = List.of("a", "b");

	private static final int HOLDERS = 3;

	private static final int STEP_KINDS = 29;

	private final TestEnvironment environment = new TestEnvironment();

	private final FakeAgents agents = new FakeAgents(this.environment);

	private final Predicate<String> droppedConditions;

	private final List<TestEnvironment.Holder> holders = new ArrayList<>();

	private final Map<String, TestEnvironment.Holder> everyHolder = new HashMap<>();

	private final List<Pending> pending = new ArrayList<>();

	private final List<Receipt> undispatched = new ArrayList<>();

	/** Tokens that requests used, or may still use while they run, by account. */
	private final Map<String, Long> usedTokens = new HashMap<>();

	private final Map<String, Long> toppedUpTokens = new HashMap<>();

	private final Map<String, Receipt> executed = new HashMap<>();

	/** Receipts of the finished and the running requests of lost agents. */
	private final Map<String, Receipt> lostReceipts = new LinkedHashMap<>();

	private final List<String> lostAgents = new ArrayList<>();

	private final FaultyTableStore closerStore = new FaultyTableStore(this.environment.store);

	private final ManualControlThread closerControl = new ManualControlThread(Instant.EPOCH);

	private final FaultyTableStore retentionStore = new FaultyTableStore(this.environment.store);

	private final ManualControlThread retentionControl = new ManualControlThread(Instant.EPOCH);

	private final List<ProcessCloser> closers = new ArrayList<>();

	private final Set<String> closing = new HashSet<>();

	/** Stopped holders, whose closing transaction may not have been applied. */
	private final Set<String> stopping = new HashSet<>();

	private final List<String> liveAgents = new ArrayList<>();

	private boolean agentLost;

	private int nameCount;

	BudgetSimulation(Predicate<String> droppedConditions) {
		this.droppedConditions = droppedConditions;
		for (String account : ACCOUNTS) {
			this.environment.addAccount(account, 400);
			this.toppedUpTokens.put(account, 400L);
		}
		for (int i = 0; i < HOLDERS; i++) {
			this.holders.add(newHolder());
		}
		for (int i = 0; i < 2; i++) {
			// Both instances consider themselves the leader.
			new ProcessRetention("retention-" + i, this.retentionStore, this.retentionControl, this.agents, this.agents,
					() -> true);
			addAgent();
			this.closers.add(newCloser());
		}
	}

	/**
	 * Runs one step and checks the rows and the record of executed requests.
	 * @param number the step; the remainder by the number of step kinds selects the kind,
	 * the quotient its parameters
	 */
	void step(int number) {
		int kind = number % STEP_KINDS;
		int parameter = number / STEP_KINDS;
		TestEnvironment.Holder holder = this.holders.get(parameter % HOLDERS);
		switch (kind) {
			case 0, 1, 2, 3, 4, 5 -> reserve(holder, parameter / HOLDERS);
			case 6, 7, 8, 9 -> dispatch(parameter);
			case 10, 11 -> agent(parameter).finishAll();
			case 12, 13 -> report(agent(parameter));
			case 14 -> topUp(ACCOUNTS.get(parameter % 2), parameter % 300);
			case 15 -> holder.store.setAvailable(parameter % 4 != 0);
			case 16 -> holder.store.loseNextAnswers(1 + parameter % 3);
			case 17 -> holder.store.delayNextWrites(1 + parameter % 2);
			case 18 -> holder.store.deliverDelayedWrites();
			case 19 -> holder.setPaused(parameter % 4 == 0);
			case 20 -> release(parameter);
			case 21 -> closerFault(parameter);
			case 22 -> close(holder, parameter);
			case 23 -> agentFault(parameter);
			case 24 -> stop(holder, parameter);
			case 25 -> this.lostAgents.forEach(holder.ledger::agentEnded);
			case 26 -> takeOver(parameter);
			case 27 -> runRetention(parameter);
			default -> advanceMs((parameter % 3 == 0) ? 100_000 : 1_000);
		}
		advanceMs(parameter % 3 * 100);
		collectResponses();
		checkInvariants();
	}

	/**
	 * Ends all faults, closes all holders, and checks the bills.
	 */
	void finish() {
		for (TestEnvironment.Holder holder : this.everyHolder.values()) {
			holder.store.deliverDelayedWrites();
			holder.store.setAvailable(true);
			holder.store.delayNextWrites(0);
			holder.setPaused(false);
		}
		this.closerStore.setAvailable(true);
		this.agents.agents.values().forEach((agent) -> agent.unreachable = false);
		this.agents.agents.values().forEach(FakeAgents.FakeAgent::finishAll);
		for (int i = 0; i < 6; i++) {
			settleAll();
			advanceMs(6_000);
			this.liveAgents.forEach((agent) -> report(this.agents.agent(agent)));
			collectResponses();
			checkInvariants();
		}
		List<String> settled = this.everyHolder.keySet()
			.stream()
			.filter((holder) -> !this.stopping.contains(holder))
			.filter((holder) -> this.environment.exists(ProcessRow.key(holder)))
			.filter((holder) -> this.environment.processState(holder) == ProcessRow.State.OPEN)
			.toList();
		for (String holder : this.everyHolder.keySet()) {
			this.closers.get(0).closeProcess(holder);
		}
		advanceMs(60_000);
		settled.forEach((holder) -> require(!restHeld(holder), "no rest is held for " + holder));
		foldAll();
		checkInvariants();
		checkBills();
		this.retentionStore.setAvailable(true);
		this.liveAgents.forEach((agent) -> dropReceiptsOfClosedHolders(this.agents.agent(agent)));
		this.retentionControl.advance(Duration.ofHours(4));
		checkInvariants();
		checkBills();
		require(this.agentLost || closedHolders().isEmpty(), "no row of a closed holder is left");
	}

	private List<String> closedHolders() {
		return this.environment.closedProcesses().stream().filter(this.everyHolder::containsKey).toList();
	}

	/**
	 * Ends all reservations: reports all lost agents to each holder, and settles or
	 * releases the open requests as gateways do.
	 */
	private void settleAll() {
		this.everyHolder.values().forEach((holder) -> this.lostAgents.forEach(holder.ledger::agentEnded));
		this.lostReceipts.values().forEach(this::takeOver);
		this.undispatched.forEach(this::release);
		this.undispatched.clear();
	}

	private boolean restHeld(String holder) {
		return this.environment.exists(JournalRow.finalKey(holder))
				&& this.environment.get(JournalRow.finalKey(holder), JournalRow.class).restHeld();
	}

	private void foldAll() {
		TestEnvironment.Holder last = this.environment.holder("last", new FixedGrantPolicy(1));
		for (String account : ACCOUNTS) {
			ReserveRequest request = TestEnvironment.request("fold-" + account, account, 1_000_000_000);
			CompletableFuture<ReserveResponse> answer = last.ledger.reserve(request);
			last.advanceMs(1_000);
			require(answer.isDone() && this.environment.account(account).grants().isEmpty(), "all grants folded");
		}
	}

	private void checkBills() {
		Map<String, List<JournalReceipt>> bills = new HashMap<>();
		this.environment.receipts()
			.forEach((bill) -> bills.computeIfAbsent(bill.requestId(), (id) -> new ArrayList<>()).add(bill));
		bills.forEach((id, found) -> require(found.size() == 1, "one bill for " + id + ": " + found));
		require(this.executed.keySet().containsAll(bills.keySet()), "a bill only for executed requests");
		for (Receipt receipt : this.executed.values()) {
			List<JournalReceipt> found = bills.get(receipt.getRequestId());
			if (found != null) {
				JournalReceipt bill = found.get(0);
				require(bill.billedTokens() + bill.heldTokens() == receipt.getBilledTokens(),
						"the amount of " + receipt);
			}
			else {
				require(this.lostReceipts.containsKey(receipt.getRequestId()), "a bill for " + receipt);
			}
		}
		boolean anyRestHeld = this.everyHolder.keySet().stream().anyMatch(this::restHeld);
		for (String id : ACCOUNTS) {
			Account account = this.environment.account(id);
			long used = this.usedTokens.getOrDefault(id, 0L);
			require(account.settledTokens() + account.heldTokens() >= used,
					"settled and held tokens cover the used tokens");
			long billed = this.environment.receipts()
				.stream()
				.filter((bill) -> bill.account().equals(id))
				.mapToLong((bill) -> bill.billedTokens() + bill.heldTokens())
				.sum();
			require(anyRestHeld || account.settledTokens() + account.heldTokens() == billed,
					"settled and held tokens equal the billed tokens: " + account + " " + billed);
			require(this.agentLost || (account.settledTokens() == used && account.heldTokens() == 0),
					"settled tokens equal the used tokens: " + account + " " + used);
		}
	}

	private void checkInvariants() {
		for (String id : ACCOUNTS) {
			Account account = this.environment.account(id);
			require(this.usedTokens.getOrDefault(id, 0L) <= this.toppedUpTokens.getOrDefault(id, 0L),
					"no overspend on " + id + ": " + this.usedTokens + " of " + this.toppedUpTokens);
			require(account.ungrantedTokens() >= 0, "no negative ungranted tokens: " + account);
			account.grants()
				.values()
				.forEach((grant) -> require(grant.remainingTokens() >= 0,
						"no grant with more spent than granted tokens: " + account));
			account.grants().keySet().forEach((holder) -> requireRow(holder, "a grant"));
		}
		this.everyHolder.keySet()
			.stream()
			.filter(this.environment::isMember)
			.forEach((holder) -> requireRow(holder, "a member"));
		this.liveAgents.stream()
			.flatMap((agent) -> this.agents.agent(agent).receipts.values().stream())
			.forEach((receipt) -> requireRow(receipt.getHolderIncarnation(), "receipts at an agent"));
	}

	private void requireRow(String holder, String reason) {
		require(this.environment.exists(ProcessRow.key(holder)), "the row of " + holder + " for " + reason);
	}

	private void reserve(TestEnvironment.Holder holder, int parameter) {
		ReserveRequest request = TestEnvironment.request("req-" + this.nameCount++, ACCOUNTS.get(parameter % 2),
				1 + parameter % 120);
		this.pending.add(new Pending(request, holder.incarnation, holder.ledger.reserve(request)));
	}

	private void collectResponses() {
		for (Iterator<Pending> iterator = this.pending.iterator(); iterator.hasNext();) {
			Pending next = iterator.next();
			if (next.answer.isDone()) {
				iterator.remove();
				if (next.answer.join().getGranted()) {
					long tokens = next.request.getTokens();
					this.undispatched.add(TestEnvironment.receipt(next.request.getRequestId(),
							next.request.getAccount(), next.holder, Math.max(1, tokens - tokens % 7)));
				}
			}
		}
	}

	private void dispatch(int parameter) {
		if (!this.undispatched.isEmpty()) {
			Receipt order = this.undispatched.remove(parameter % this.undispatched.size());
			if (agent(parameter).start(order)) {
				this.executed.put(order.getRequestId(), order);
				this.usedTokens.merge(order.getAccount(), order.getBilledTokens(), Long::sum);
			}
			else {
				release(order);
			}
		}
	}

	private void release(int parameter) {
		if (!this.undispatched.isEmpty()) {
			release(this.undispatched.remove(parameter % this.undispatched.size()));
		}
	}

	private void release(Receipt order) {
		String holder = order.getHolderIncarnation();
		Objects.requireNonNull(this.everyHolder.get(holder)).ledger.release(
				ReleaseRequest.newBuilder().setHolderIncarnation(holder).addRequestIds(order.getRequestId()).build());
	}

	private void takeOver(int parameter) {
		if (!this.lostReceipts.isEmpty()) {
			takeOver(new ArrayList<>(this.lostReceipts.values()).get(parameter % this.lostReceipts.size()));
		}
	}

	private void takeOver(Receipt lost) {
		Receipt takenOver = lost.toBuilder()
			.setBilledTokens(0)
			.setHeldTokens(lost.getBilledTokens())
			.setStatus(ReceiptStatus.TAKEN_OVER)
			.build();
		Objects.requireNonNull(this.everyHolder.get(lost.getHolderIncarnation())).ledger
			.settle(SettleRequest.newBuilder().addReceipts(takenOver).build());
	}

	private void report(FakeAgents.FakeAgent agent) {
		for (TestEnvironment.Holder holder : this.everyHolder.values()) {
			List<Receipt> receipts = agent.receipts.values()
				.stream()
				.filter((receipt) -> receipt.getHolderIncarnation().equals(holder.incarnation))
				.toList();
			if (!receipts.isEmpty()) {
				CompletableFuture<SettleResponse> answer = holder.ledger
					.settle(SettleRequest.newBuilder().addAllReceipts(receipts).build());
				answer.thenAccept((response) -> response.getDurableRequestIdsList().forEach(agent.receipts::remove));
			}
		}
	}

	private void topUp(String account, long tokens) {
		this.environment.topUp(account, tokens);
		this.toppedUpTokens.merge(account, tokens, Long::sum);
	}

	private void runRetention(int parameter) {
		this.retentionStore.setAvailable(parameter % 7 != 0);
		if (parameter % 5 == 0) {
			this.retentionStore.loseNextAnswers(1);
		}
		if (parameter % 3 == 0) {
			dropReceiptsOfClosedHolders(agent(parameter));
		}
		this.retentionControl.advance(Duration.ofMinutes((parameter % 2 == 0) ? 61 : 1));
	}

	private void dropReceiptsOfClosedHolders(FakeAgents.FakeAgent agent) {
		agent.receipts.values()
			.removeIf((receipt) -> this.environment.exists(JournalRow.finalKey(receipt.getHolderIncarnation())));
	}

	private void closerFault(int parameter) {
		switch (parameter % 3) {
			case 0 -> this.closerStore.setAvailable(parameter % 4 != 0);
			case 1 -> this.closerStore.loseNextAnswers(2);
			default -> {
				int which = parameter % this.closers.size();
				this.closers.get(which).close();
				this.closers.set(which, newCloser());
				this.closing.forEach(this.closers.get(which)::closeProcess);
			}
		}
	}

	private void close(TestEnvironment.Holder holder, int parameter) {
		if (parameter % 2 == 0) {
			this.closing.add(holder.incarnation);
			this.closers.forEach((closer) -> closer.closeProcess(holder.incarnation));
			this.holders.set(this.holders.indexOf(holder), newHolder());
		}
	}

	private void stop(TestEnvironment.Holder holder, int parameter) {
		if (parameter % 2 == 0) {
			this.stopping.add(holder.incarnation);
			holder.ledger.stop(Duration.ofSeconds(30));
			this.holders.set(this.holders.indexOf(holder), newHolder());
		}
	}

	private void agentFault(int parameter) {
		int which = parameter % this.liveAgents.size();
		FakeAgents.FakeAgent agent = this.agents.agent(this.liveAgents.get(which));
		if (parameter % 8 == 7) {
			this.lostReceipts.putAll(agent.running);
			this.lostReceipts.putAll(agent.receipts);
			this.lostAgents.add(this.liveAgents.get(which));
			this.agentLost = true;
			agent.lost = true;
			agent.running.clear();
			agent.receipts.clear();
			this.liveAgents.remove(which);
			addAgent();
		}
		else {
			agent.unreachable = parameter % 4 == 0;
		}
	}

	private FakeAgents.FakeAgent agent(int parameter) {
		String name = this.liveAgents.get(parameter % this.liveAgents.size());
		return this.agents.agent(name);
	}

	private void addAgent() {
		String name = "agent-" + this.nameCount++;
		this.agents.add(name);
		this.liveAgents.add(name);
	}

	private TestEnvironment.Holder newHolder() {
		GrantPolicy policy = (this.nameCount % 2 == 0) ? new FixedGrantPolicy(120)
				: new AdaptiveGrantPolicy(10, 50, 0.2, 1.5);
		TestEnvironment.Holder holder = this.environment.holder("holder-" + this.nameCount++, policy);
		holder.store.dropConditions(this.droppedConditions);
		this.everyHolder.put(holder.incarnation, holder);
		return holder;
	}

	private ProcessCloser newCloser() {
		return new ProcessCloser("closer-" + this.nameCount++, this.closerStore, this.closerControl, this.agents,
				this.agents);
	}

	private void advanceMs(long ms) {
		this.everyHolder.values().forEach((holder) -> holder.advanceMs(ms));
		this.closerControl.advance(Duration.ofMillis(ms));
	}

	private static void require(boolean holds, String expectation) {
		if (!holds) {
			throw new AssertionError("Expected: " + expectation);
		}
	}

	static Predicate<String> processRows() {
		return (key) -> key.startsWith(ProcessRow.KEY_PREFIX);
	}

	private record Pending(ReserveRequest request, String holder, CompletableFuture<ReserveResponse> answer) {
	}

}
