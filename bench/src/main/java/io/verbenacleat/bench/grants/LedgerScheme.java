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
 * The scheme of the product: ledgers with a grant policy on one table store. Used by one
 * thread.
 */
final class LedgerScheme implements BudgetScheme {

	private static final Duration RETRY_DELAY = Duration.ofSeconds(5);

	private final Work work;

	private final ManualControlThread control;

	private final LedgerFleet fleet;

	LedgerScheme(Work work, ManualControlThread control, GrantPolicy policy) {
		this.work = work;
		this.control = control;
		this.fleet = new LedgerFleet(work, control, policy);
		for (int account = 0; account < work.budgetTokens().size(); account++) {
			this.fleet.rows.addAccount(Work.accountId(account), work.budgetTokens().get(account));
		}
	}

	@Override
	public void reserve(WorkRequest request, Consumer<Decision> answer) {
		ReserveRequest message = ReserveRequest.newBuilder()
			.setRequestId(request.id())
			.setGatewayIncarnation("gateway-" + request.site())
			.setAccount(Work.accountId(request.account()))
			.setKeySha256(OfficeRows.KEY_SHA256)
			.setTokens(request.reservedTokens())
			.build();
		new LedgerSearch(this.fleet, request.site(), message, answer).start();
	}

	@Override
	public void started(WorkRequest request, String place) {
		this.fleet.agents.started(place);
	}

	@Override
	public void finished(WorkRequest request, String place) {
		Receipt receipt = Receipt.newBuilder()
			.setRequestId(request.id())
			.setAccount(Work.accountId(request.account()))
			.setCallerId("caller")
			.setHolderIncarnation(place)
			.setBilledTokens(request.usedTokens())
			.setStatus(ReceiptStatus.COMPLETE)
			.build();
		this.fleet.agents.finished(receipt);
		settle(request.site(), receipt);
	}

	private void settle(int site, Receipt receipt) {
		LedgerHolder holder = this.fleet.find(receipt.getHolderIncarnation());
		if (holder == null || holder.lost()) {
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
		this.fleet.rows.topUp(Work.accountId(topUp.account()), topUp.tokens());
	}

	@Override
	public void lose(HolderLoss loss) {
		this.fleet.lose(loss);
	}

	@Override
	public double outOfReachTokens() {
		double tokens = 0;
		for (int account = 0; account < this.work.budgetTokens().size(); account++) {
			Account row = this.fleet.rows.account(Work.accountId(account));
			long granted = row.grants().values().stream().mapToLong(Grant::remainingTokens).sum();
			double home = 0;
			for (int site = 0; site < this.work.sites(); site++) {
				LedgerHolder holder = this.fleet.ranked(site, row.id()).get(0);
				Grant grant = row.grant(holder.member.incarnation());
				home += (grant != null && !holder.lost()) ? grant.remainingTokens() : 0;
			}
			tokens += granted - home / this.work.sites();
		}
		return tokens;
	}

	@Override
	public String diagnose(WorkRequest request) {
		Account row = this.fleet.rows.account(Work.accountId(request.account()));
		long near = Math.max(0, row.ungrantedTokens());
		boolean table = this.fleet.tableReachable(request.site());
		if (table && near >= request.reservedTokens()) {
			return "UNGRANTED";
		}
		near = (table) ? near : 0;
		boolean lost = false;
		boolean covered = false;
		for (Map.Entry<String, Grant> grant : row.grants().entrySet()) {
			LedgerHolder holder = this.fleet.find(grant.getKey());
			boolean reachable = holder != null && this.fleet.reachable(request.site(), holder);
			lost |= holder != null && holder.lost();
			near += (reachable) ? grant.getValue().remainingTokens() : 0;
			covered |= reachable && grant.getValue().remainingTokens() >= request.reservedTokens();
		}
		if (near >= request.reservedTokens()) {
			return (covered) ? "ONE_GRANT" : "SPLIT";
		}
		return (table) ? ((lost) ? "LOST_HOLDER" : "SITE_CUT") : "TABLE_CUT";
	}

	@Override
	public TableLoad load() {
		return this.fleet.counts.load();
	}

}
