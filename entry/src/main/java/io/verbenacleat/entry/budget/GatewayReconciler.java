package io.verbenacleat.entry.budget;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.proto.v1.CloseProcessResponse;

/**
 * Ends the reservations of gateways that were closed: asks the agents which of their
 * requests were executed, and frees the others. A gateway counts as closed when its
 * process row says so. Used on the control thread.
 */
public final class GatewayReconciler {

	private static final Duration INTERVAL = Duration.ofSeconds(10);

	private final String incarnation;

	private final BudgetLedger ledger;

	private final TableStore store;

	private final ControlThread control;

	private final AgentRound agents;

	private final Set<String> inProgress = new HashSet<>();

	/**
	 * Creates a reconciler and starts it.
	 * @param incarnation the incarnation of this process
	 * @param ledger the ledger of this process
	 * @param store the table store
	 * @param control the control thread
	 * @param agentControl reaches the agents
	 * @param lostAgents knows which agents are lost
	 */
	public GatewayReconciler(String incarnation, BudgetLedger ledger, TableStore store, ControlThread control,
			AgentControl agentControl, LostAgents lostAgents) {
		this.incarnation = incarnation;
		this.ledger = ledger;
		this.store = store;
		this.control = control;
		this.agents = new AgentRound(store, control, agentControl, lostAgents);
		control.scheduleWithFixedDelay(INTERVAL, this::reconcile);
	}

	private void reconcile() {
		for (String gateway : this.ledger.reservingGateways()) {
			if (!gateway.equals(this.incarnation) && this.inProgress.add(gateway)) {
				this.store.read(ProcessRow.key(gateway)).whenCompleteAsync((row, failure) -> {
					if (row != null && row.exists()) {
						reconcileIfClosed(gateway, row);
					}
					else {
						this.inProgress.remove(gateway);
					}
				}, this.control);
			}
		}
	}

	private void reconcileIfClosed(String gateway, Row row) {
		ProcessRow process = ProcessRows.parse(row)
			.filter((parsed) -> parsed.state() == ProcessRow.State.CLOSED)
			.orElse(null);
		if (process == null) {
			this.inProgress.remove(gateway);
			return;
		}
		this.agents.run(process.member(), this.incarnation).whenCompleteAsync((result, failure) -> {
			this.inProgress.remove(gateway);
			if (result != null && result.complete()) {
				Set<String> executed = new HashSet<>();
				result.responses.stream()
					.map(CloseProcessResponse::getExecutedRequestIdsList)
					.forEach(executed::addAll);
				this.ledger.closedGateway(gateway, executed, !result.lost.isEmpty());
			}
		}, this.control);
	}

}
