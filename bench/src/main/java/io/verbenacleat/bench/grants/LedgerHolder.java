package io.verbenacleat.bench.grants;

import java.util.concurrent.CompletableFuture;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.entry.budget.BudgetLedger;
import io.verbenacleat.entry.budget.GrantPolicy;
import io.verbenacleat.entry.budget.ProcessCloser;

/**
 * One incarnation of a simulated holder: the ledger and the process closer of the product
 * on a table store with faults. Not safe for use by several threads.
 */
final class LedgerHolder {

	final Member member;

	final int site;

	final BudgetLedger ledger;

	final ProcessCloser closer;

	private final PartitionedTableStore table;

	private boolean crashed;

	LedgerHolder(Member member, int site, PartitionedTableStore table, ManualControlThread control, GrantPolicy policy,
			SimulatedAgents agents) {
		this.member = member;
		this.site = site;
		this.table = table;
		this.ledger = BudgetLedger.builder()
			.incarnation(member.incarnation())
			.address(member.address())
			.store(table)
			.control(control)
			.policy(policy)
			.registry(new PrometheusRegistry())
			.build();
		this.closer = new ProcessCloser(member.incarnation(), table, control,
				(agent, request) -> CompletableFuture.completedFuture(agents.closeProcess(request.getIncarnation())),
				(agent) -> false);
	}

	boolean crashed() {
		return this.crashed;
	}

	void crash() {
		this.crashed = true;
		this.table.setCrashed();
		this.ledger.close();
		this.closer.close();
	}

}
