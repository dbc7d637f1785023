package io.verbenacleat.entry.budget;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.proto.v1.CloseProcessResponse;

/**
 * Ends the reservations of closed gateways: finds out from the agents which of their
 * requests were executed, and releases the others. A gateway counts as closed when its
 * process row is closed or absent. A gateway makes reservations only after it has
 * registered, so an absent row was deleted by {@link ProcessRetention} after the gateway
 * was closed. Used on the control thread only.
 */
public final class GatewayReconciler {

	private static final Duration INTERVAL = Duration.ofSeconds(10);

	private final String incarnation;

	private final BudgetLedger ledger;

	private final TableStore store;

	private final ControlThread control;

	private final CloseProcessRound closeRound;

	private final Set<String> inProgress = new HashSet<>();

	/**
	 * Creates a reconciler and starts its timer.
	 * @param incarnation the incarnation of this process
	 * @param ledger the ledger of this process
	 * @param store the table store
	 * @param control the control thread
	 * @param agentControl the calls to agents
	 * @param lostAgents determines which agents are lost
	 */
	public GatewayReconciler(String incarnation, BudgetLedger ledger, TableStore store, ControlThread control,
			AgentControl agentControl, LostAgents lostAgents) {
		this.incarnation = incarnation;
		this.ledger = ledger;
		this.store = store;
		this.control = control;
		this.closeRound = new CloseProcessRound(store, control, agentControl, lostAgents);
		control.scheduleWithFixedDelay(INTERVAL, this::reconcile);
	}

	private void reconcile() {
		for (String gateway : this.ledger.reservingGateways()) {
			if (!gateway.equals(this.incarnation) && this.inProgress.add(gateway)) {
				this.store.read(ProcessRow.key(gateway)).whenCompleteAsync((row, failure) -> {
					if (row != null) {
						reconcileIfClosed(gateway, row);
					}
					else {
						this.inProgress.remove(gateway);
					}
				}, this.control);
			}
		}
	}

	/**
	 * Returns a placeholder for a deleted process row. It has no registration number, so
	 * all agents that have a row are called.
	 * @param gateway the gateway incarnation
	 * @return the process row of a closed entry
	 */
	private static ProcessRow deletedRowPlaceholder(String gateway) {
		Member member = new Member(gateway, Member.Role.ENTRY, "", "", "", "", "", null, 0, 0);
		return new ProcessRow(member, ProcessRow.State.CLOSED, null);
	}

	private void reconcileIfClosed(String gateway, Row row) {
		ProcessRow process = (row.exists())
				? ProcessRows.parse(row).filter((parsed) -> parsed.state() == ProcessRow.State.CLOSED).orElse(null)
				: deletedRowPlaceholder(gateway);
		if (process == null) {
			this.inProgress.remove(gateway);
			return;
		}
		this.closeRound.run(process.member(), this.incarnation).whenCompleteAsync((result, failure) -> {
			this.inProgress.remove(gateway);
			if (result != null && result.complete()) {
				Set<String> executed = new HashSet<>();
				result.responses.stream()
					.map(CloseProcessResponse::getExecutedRequestIdsList)
					.forEach(executed::addAll);
				this.ledger.closeGateway(gateway, executed, result.lostIncarnations);
			}
		}, this.control);
	}

}
