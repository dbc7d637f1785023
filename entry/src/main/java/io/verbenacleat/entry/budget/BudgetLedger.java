package io.verbenacleat.entry.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.journal.JournalReceipt;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.proto.v1.ReleaseRequest;
import io.verbenacleat.proto.v1.ReleaseResponse;
import io.verbenacleat.proto.v1.ReserveRefusal;
import io.verbenacleat.proto.v1.ReserveRequest;
import io.verbenacleat.proto.v1.ReserveResponse;
import io.verbenacleat.proto.v1.SettleRequest;
import io.verbenacleat.proto.v1.SettleResponse;
import org.jspecify.annotations.Nullable;

/**
 * The budget holder of this process: it holds grants on accounts, reserves granted tokens
 * for requests, bills receipts and writes them to a journal. Safe for use by several
 * threads; all state is confined to the control thread, and futures complete there.
 * <p>
 * The ledger does not create its process row; until the row exists, reservations are
 * refused.
 *
 * <pre>{@code
 * BudgetLedger ledger = BudgetLedger.builder()
 *     .incarnation(incarnation)
 *     .address("10.0.0.1:7000")
 *     .store(store)
 *     .control(control)
 *     .policy(AdaptiveGrantPolicy.of(preset))
 *     .registry(registry)
 *     .build();
 * }</pre>
 */
public final class BudgetLedger implements BudgetHolder, AutoCloseable {

	private static final Duration MAINTENANCE_INTERVAL = Duration.ofSeconds(5);

	private final LedgerState state;

	private final TableStore store;

	private final ControlThread control;

	private final CallerCache callers;

	private final ReceiptJournal journal;

	private final Admission admission;

	private final Settlement settlement;

	private final EndedAgentTracker endedAgents;

	private final LedgerMaintenance maintenance;

	private final GracefulStop gracefulStop;

	private final Cancellable maintenanceTimer;

	private BudgetLedger(Builder builder) {
		String incarnation = Objects.requireNonNull(builder.incarnation, "incarnation");
		String address = Objects.requireNonNull(builder.address, "address");
		TableStore store = Objects.requireNonNull(builder.store, "store");
		this.store = store;
		GrantPolicy policy = Objects.requireNonNull(builder.policy, "policy");
		this.control = Objects.requireNonNull(builder.control, "control");
		BudgetMetrics metrics = new BudgetMetrics(Objects.requireNonNull(builder.registry, "registry"));
		LedgerState ledger = new LedgerState(incarnation, builder.maxDurableReceipts);
		GrantPlanner planner = new GrantPlanner(incarnation, address, policy, this.control.clock());
		this.state = ledger;
		this.callers = new CallerCache(store, this.control, builder.reserveTimeout);
		this.journal = new ReceiptJournal(incarnation, store, this.control, ledger.process, metrics,
				builder.maxPendingReceipts, (receipts) -> markDurable(receipts));
		this.admission = new Admission(ledger, this.control, this.callers, this.journal, metrics,
				builder.reserveTimeout, (owner) -> new GrantWriter(incarnation, store, this.control, ledger.process,
						planner, metrics, owner::onWriteFinished));
		this.settlement = new Settlement(ledger, this.control, this.admission, this.journal,
				new JournalReader(store, this.control), metrics);
		this.endedAgents = new EndedAgentTracker(ledger, this.journal);
		this.maintenance = new LedgerMaintenance(ledger, this.control, policy, this.admission.writer(), this.journal,
				metrics);
		this.gracefulStop = new GracefulStop(ledger, store, this.control, this.admission, this.journal);
		this.maintenanceTimer = this.control.scheduleWithFixedDelay(MAINTENANCE_INTERVAL, this::maintain);
		ledger.process.addListener(this::refuseWaiting);
	}

	/**
	 * Returns a builder without settings.
	 * @return a new builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	@Override
	public CompletableFuture<ReserveResponse> reserve(ReserveRequest request) {
		return call(() -> this.admission.reserve(request));
	}

	@Override
	public CompletableFuture<SettleResponse> settle(SettleRequest request) {
		return call(() -> this.settlement.settle(request));
	}

	@Override
	public CompletableFuture<ReleaseResponse> release(ReleaseRequest request) {
		return call(() -> {
			if (request.getHolderIncarnation().equals(this.state.incarnation)) {
				this.settlement.release(request.getRequestIdsList());
			}
			return CompletableFuture.completedFuture(ReleaseResponse.getDefaultInstance());
		});
	}

	/**
	 * Invalidates the cached callers of accounts, which are read again at their next use.
	 * @param accountIds the accounts
	 */
	public void invalidateCallers(Collection<String> accountIds) {
		this.control.execute(() -> accountIds.forEach(this.callers::invalidate));
	}

	/**
	 * Invalidates the cached callers of all accounts.
	 */
	public void invalidateAllCallers() {
		this.control.execute(this.callers::invalidateAll);
	}

	/**
	 * Ends the reservations of a closed gateway, and refuses later ones. May be called
	 * again with fewer executed requests, after their agent was lost.
	 * @param gateway the gateway incarnation, already closed at all agents
	 * @param executedRequestIds requests that an agent executed and whose receipts are
	 * still to come; their reservations stay
	 * @param lostAgents the incarnations of lost agents; the tokens of a reservation that
	 * one of them may have run are held instead of released
	 * @return completes when the reservations have ended
	 */
	public CompletableFuture<Void> closeGateway(String gateway, Set<String> executedRequestIds,
			List<String> lostAgents) {
		return this.control.submit(() -> {
			this.settlement.closeGateway(gateway, executedRequestIds, (requestId) -> lostAgents.stream()
				.anyMatch((agent) -> this.endedAgents.mayHaveRun(agent, requestId)));
			return null;
		});
	}

	/**
	 * Records that an agent has ended, so that no order can reach it any more. The
	 * journal lists it as accounted for once no open reservation can have been run by it.
	 * @param agent the agent incarnation
	 */
	public void agentEnded(String agent) {
		this.control.execute(() -> this.endedAgents.markEnded(agent));
	}

	/**
	 * Returns the gateways that have open reservations at this holder. Must be called on
	 * the control thread.
	 * @return the gateway incarnations
	 */
	public Set<String> reservingGateways() {
		return this.state.accounts.values()
			.stream()
			.flatMap((account) -> account.reservations.values().stream())
			.map(Reservation::gateway)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Adds a listener that is called when this holder learns that it was closed.
	 * @param listener runs on the control thread, once
	 */
	public void addClosedListener(Runnable listener) {
		this.control.execute(() -> this.state.process.addListener(listener));
	}

	/**
	 * Reads the process row of this holder, to find out whether it was closed. A holder
	 * that has nothing to write would not notice it otherwise.
	 */
	public void checkOpen() {
		this.store.read(this.state.process.key()).whenCompleteAsync((row, failure) -> {
			if (row != null) {
				this.state.process.observe(row);
			}
		}, this.control);
	}

	/**
	 * Stops gracefully: refuses new reservations, waits for the open ones, writes the
	 * journal, returns all grants, and closes the process row.
	 * @param timeout how long to retry
	 * @return {@code true} when the process row is closed; {@code false} when the rest is
	 * left to a closer
	 */
	public CompletableFuture<Boolean> stop(Duration timeout) {
		return call(() -> this.gracefulStop.start(timeout));
	}

	/**
	 * Stops the timer of this ledger without writing anything.
	 */
	@Override
	public void close() {
		this.maintenanceTimer.cancel();
	}

	private void maintain() {
		this.maintenance.run();
		this.endedAgents.reportAccountedAgents();
	}

	private void markDurable(List<JournalReceipt> receipts) {
		this.settlement.markDurable(receipts);
	}

	private void refuseWaiting() {
		for (AccountState account : new ArrayList<>(this.state.accounts.values())) {
			this.admission.refuseAll(account, ReserveRefusal.HOLDER_NOT_OPEN);
		}
	}

	private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> task) {
		return this.control.submit(task).thenCompose((answer) -> answer);
	}

	/**
	 * Builds a ledger from its settings. Not safe for use by several threads.
	 */
	public static final class Builder {

		private @Nullable String incarnation;

		private @Nullable String address;

		private @Nullable TableStore store;

		private @Nullable ControlThread control;

		private @Nullable GrantPolicy policy;

		private @Nullable PrometheusRegistry registry;

		private Duration reserveTimeout = Duration.ofMillis(300);

		private int maxPendingReceipts = 20_000;

		private int maxDurableReceipts = 20_000;

		private Builder() {
		}

		/**
		 * Sets the incarnation of this process.
		 * @param value the incarnation
		 * @return this builder
		 */
		public Builder incarnation(String value) {
			this.incarnation = value;
			return this;
		}

		/**
		 * Sets the gRPC address of this process.
		 * @param value the address, host:port
		 * @return this builder
		 */
		public Builder address(String value) {
			this.address = value;
			return this;
		}

		/**
		 * Sets the table store.
		 * @param value the store
		 * @return this builder
		 */
		public Builder store(TableStore value) {
			this.store = value;
			return this;
		}

		/**
		 * Sets the control thread.
		 * @param value the control thread
		 * @return this builder
		 */
		public Builder control(ControlThread value) {
			this.control = value;
			return this;
		}

		/**
		 * Sets the policy for grant sizes.
		 * @param value the policy
		 * @return this builder
		 */
		public Builder policy(GrantPolicy value) {
			this.policy = value;
			return this;
		}

		/**
		 * Sets the registry for the metrics.
		 * @param value the registry
		 * @return this builder
		 */
		public Builder registry(PrometheusRegistry value) {
			this.registry = value;
			return this;
		}

		/**
		 * Sets how long a reservation may wait for the table store at each step.
		 * @param value the timeout, 300 ms by default
		 * @return this builder
		 */
		public Builder reserveTimeout(Duration value) {
			this.reserveTimeout = value;
			return this;
		}

		/**
		 * Sets how many receipts may be pending for the journal before requests are
		 * refused.
		 * @param value the number, 20,000 by default
		 * @return this builder
		 */
		public Builder maxPendingReceipts(int value) {
			this.maxPendingReceipts = value;
			return this;
		}

		/**
		 * Sets how many durable receipts are kept in memory before the journal is
		 * searched.
		 * @param value the number, 20,000 by default
		 * @return this builder
		 */
		public Builder maxDurableReceipts(int value) {
			this.maxDurableReceipts = value;
			return this;
		}

		/**
		 * Builds the ledger and starts its timer.
		 * @return the ledger
		 * @throws NullPointerException when a setting without a default is missing
		 */
		public BudgetLedger build() {
			return new BudgetLedger(this);
		}

	}

}
