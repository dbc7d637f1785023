package io.verbenacleat.bench.grants;

import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;

import io.verbenacleat.core.account.Account;
import io.verbenacleat.core.account.Grant;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.entry.budget.GrantPolicy;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.ReserveRequest;
import io.verbenacleat.proto.v1.SettleRequest;

/**
 * The scheme of the product: ledgers with a grant policy on one shared table store. Not
 * safe for use by several threads.
 */
final class LedgerScheme implements BudgetScheme {

	private static final Duration RETRY_DELAY = Duration.ofSeconds(5);

	private final Workload workload;

	private final ManualControlThread control;

	private final LedgerFleet fleet;

	LedgerScheme(Workload workload, ManualControlThread control, GrantPolicy policy) {
		this.workload = workload;
		this.control = control;
		this.fleet = new LedgerFleet(workload, control, policy);
		for (int account = 0; account < workload.budgetTokens().size(); account++) {
			this.fleet.rows.addAccount(Workload.accountId(account), workload.budgetTokens().get(account));
		}
	}

	@Override
	public void reserve(WorkloadRequest request, Consumer<Decision> onDecision) {
		ReserveRequest message = ReserveRequest.newBuilder()
			.setRequestId(request.id())
			.setGatewayIncarnation("gateway-" + request.site())
			.setAccount(Workload.accountId(request.account()))
			.setKeySha256(TableRows.KEY_SHA256)
			.setTokens(request.reservedTokens())
			.build();
		new LedgerSearch(this.fleet, request.site(), message, onDecision).start();
	}

	@Override
	public void onStarted(WorkloadRequest request, String holderId) {
		this.fleet.agents.orderStarted(holderId);
	}

	@Override
	public void onFinished(WorkloadRequest request, String holderId) {
		Receipt receipt = Receipt.newBuilder()
			.setRequestId(request.id())
			.setAccount(Workload.accountId(request.account()))
			.setCallerId("caller")
			.setHolderIncarnation(holderId)
			.setBilledTokens(request.usedTokens())
			.setStatus(ReceiptStatus.COMPLETE)
			.build();
		this.fleet.agents.orderFinished(receipt);
		settle(request.site(), receipt);
	}

	private void settle(int site, Receipt receipt) {
		LedgerHolder holder = this.fleet.findHolder(receipt.getHolderIncarnation());
		if (holder == null || holder.crashed()) {
			return;
		}
		if (this.fleet.reachable(site, holder)) {
			holder.ledger.settle(SettleRequest.newBuilder().addReceipts(receipt).build());
		}
		else {
			this.control.schedule(RETRY_DELAY, () -> settle(site, receipt));
		}
	}

	@Override
	public void topUp(TopUp topUp) {
		this.fleet.rows.topUp(Workload.accountId(topUp.account()), topUp.tokens());
	}

	@Override
	public void crashHolder(HolderCrash crash) {
		this.fleet.crashHolder(crash);
	}

	@Override
	public double outOfReachTokens() {
		double tokens = 0;
		for (int account = 0; account < this.workload.budgetTokens().size(); account++) {
			Account row = this.fleet.rows.account(Workload.accountId(account));
			long grantedTokens = row.grants().values().stream().mapToLong(Grant::remainingTokens).sum();
			double homeTokens = 0;
			for (int site = 0; site < this.workload.sites(); site++) {
				LedgerHolder holder = this.fleet.rankedHolders(site, row.id()).get(0);
				Grant grant = row.grant(holder.member.incarnation());
				homeTokens += (grant != null && !holder.crashed()) ? grant.remainingTokens() : 0;
			}
			tokens += grantedTokens - homeTokens / this.workload.sites();
		}
		return tokens;
	}

	@Override
	public String diagnose(WorkloadRequest request) {
		Account row = this.fleet.rows.account(Workload.accountId(request.account()));
		long reachableTokens = Math.max(0, row.ungrantedTokens());
		boolean tableReachable = this.fleet.tableReachable(request.site());
		if (tableReachable && reachableTokens >= request.reservedTokens()) {
			return "UNGRANTED";
		}
		reachableTokens = (tableReachable) ? reachableTokens : 0;
		boolean holderCrashed = false;
		boolean coveredByOneGrant = false;
		for (Map.Entry<String, Grant> grant : row.grants().entrySet()) {
			LedgerHolder holder = this.fleet.findHolder(grant.getKey());
			boolean reachable = holder != null && this.fleet.reachable(request.site(), holder);
			holderCrashed |= holder != null && holder.crashed();
			reachableTokens += (reachable) ? grant.getValue().remainingTokens() : 0;
			coveredByOneGrant |= reachable && grant.getValue().remainingTokens() >= request.reservedTokens();
		}
		if (reachableTokens >= request.reservedTokens()) {
			return (coveredByOneGrant) ? "ONE_GRANT" : "SPLIT";
		}
		return (tableReachable) ? ((holderCrashed) ? "LOST_HOLDER" : "SITE_CUT") : "TABLE_CUT";
	}

	@Override
	public TableLoad tableLoad() {
		return this.fleet.counts.snapshot();
	}

}
