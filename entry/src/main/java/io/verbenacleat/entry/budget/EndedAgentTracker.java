package io.verbenacleat.entry.budget;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Decides when an agent that has ended is accounted for at this holder, and has the
 * journal say so. A closer of this holder then need not hold the rest of its grants
 * because of that agent. Used on the control thread only.
 * <p>
 * Why this is safe:
 * <ul>
 * <li>An agent counts as ended only when no order can reach it any more, whatever a
 * gateway knows. A gateway that has not heard of the end may still send an order of a
 * later reservation there, but the agent does not receive it.</li>
 * <li>So each order that the agent has ever received belongs to a reservation that was
 * granted before this holder learned of the end. Also an order that the agent received
 * and starts or continues later, cut off from the fleet, is one of these.</li>
 * <li>Each of these reservations has ended, or is among those that are open when the
 * holder learns of the end. A reservation ends by a receipt, by a {@code TAKEN_OVER}
 * receipt that holds what is unknown, or by a release. A release proves that the order
 * never ran and never will.</li>
 * <li>Once the reservations open at that time have ended, the journal has all their
 * receipts, written or pending. The row that names the agent leaves no receipt pending,
 * and a closer reads it only together with all earlier rows.</li>
 * </ul>
 * Silence and absence from the host list are not enough to count an agent as ended here:
 * an agent that is only cut off could receive an order of a reservation that was granted
 * after the row that names the agent.
 */
final class EndedAgentTracker {

	private final LedgerState ledger;

	private final ReceiptJournal journal;

	/** Reservations that were open when the end of the agent was learned, by agent. */
	private final Map<String, Set<String>> openRequestIds = new HashMap<>();

	/** All agents whose end was learned; an entry sees about a hundred a day. */
	private final Set<String> markEnded = new HashSet<>();

	EndedAgentTracker(LedgerState ledger, ReceiptJournal journal) {
		this.ledger = ledger;
		this.journal = journal;
	}

	/**
	 * Takes notice of the end of an agent.
	 * @param agent the agent incarnation
	 */
	void markEnded(String agent) {
		if (this.markEnded.add(agent)) {
			this.openRequestIds.put(agent, reservedRequestIds());
		}
	}

	/**
	 * Returns whether an agent may have run a request whose reservation is open.
	 * @param agent the agent incarnation
	 * @param requestId the request
	 * @return {@code false} when the reservation was granted after the agent had ended
	 */
	boolean mayHaveRun(String agent, String requestId) {
		return !this.markEnded.contains(agent) || this.openRequestIds.getOrDefault(agent, Set.of()).contains(requestId);
	}

	/**
	 * Hands those agents to the journal that are accounted for.
	 */
	void reportAccountedAgents() {
		if (this.openRequestIds.isEmpty() || this.ledger.refusesReceipts()) {
			return;
		}
		Set<String> reserved = reservedRequestIds();
		this.openRequestIds.entrySet().removeIf((entry) -> {
			entry.getValue().retainAll(reserved);
			boolean allEnded = entry.getValue().isEmpty();
			if (allEnded) {
				this.journal.addAccountedAgent(entry.getKey());
			}
			return allEnded;
		});
	}

	private Set<String> reservedRequestIds() {
		Set<String> reserved = new HashSet<>();
		this.ledger.accounts.values().forEach((state) -> reserved.addAll(state.reservations.keySet()));
		return reserved;
	}

}
