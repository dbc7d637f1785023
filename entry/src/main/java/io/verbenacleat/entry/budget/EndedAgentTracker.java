package io.verbenacleat.entry.budget;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks, for each agent that has ended, the open reservations whose orders it may have
 * run. When all of these have ended, the agent is accounted for, and the journal lists
 * it. A process that closes this holder later then does not have to hold the rest of its
 * grants because of that agent. Used on the control thread only.
 * <p>
 * Why this is safe:
 * <ul>
 * <li>An agent counts as ended only when no order can reach it any more, even from a
 * gateway that has not learned of the end. Such a gateway may still send it an order of a
 * later reservation, but the agent does not receive it.</li>
 * <li>So each order that the agent ever received belongs to a reservation that was
 * granted before this holder learned of the end. This includes orders that the agent
 * starts or continues later, while it is cut off from the fleet.</li>
 * <li>Each of these reservations either has ended or is open when the holder learns of
 * the end. A reservation ends with a receipt, with a {@code TAKEN_OVER} receipt that
 * holds the tokens whose use is unknown, or with a release. A release proves that the
 * order never ran and never will.</li>
 * <li>Once the reservations open at that time have ended, the journal has all their
 * receipts, written or pending. The row that lists the agent leaves no receipt pending,
 * and a closer reads it only together with all earlier rows.</li>
 * </ul>
 * A missing answer or absence from the host list does not prove that an agent has ended:
 * an agent that is only cut off could receive an order of a reservation that was granted
 * after the row that lists the agent.
 */
final class EndedAgentTracker {

	private final LedgerState ledger;

	private final ReceiptJournal journal;

	/**
	 * Requests whose reservations were open when the end of the agent was learned, by
	 * agent incarnation.
	 */
	private final Map<String, Set<String>> openRequestIds = new HashMap<>();

	/** All agents known to have ended; an entry sees about a hundred a day. */
	private final Set<String> endedAgents = new HashSet<>();

	EndedAgentTracker(LedgerState ledger, ReceiptJournal journal) {
		this.ledger = ledger;
		this.journal = journal;
	}

	/**
	 * Records that an agent has ended; repeated calls have no effect.
	 * @param agent the agent incarnation
	 */
	void markEnded(String agent) {
		if (this.endedAgents.add(agent)) {
			this.openRequestIds.put(agent, reservedRequestIds());
		}
	}

	/**
	 * Returns whether an agent may have run a request whose reservation is open.
	 * @param agent the agent incarnation
	 * @param requestId the request
	 * @return {@code false} when the reservation was granted after this holder learned
	 * that the agent had ended
	 */
	boolean mayHaveRun(String agent, String requestId) {
		return !this.endedAgents.contains(agent)
				|| this.openRequestIds.getOrDefault(agent, Set.of()).contains(requestId);
	}

	/**
	 * Passes the agents that are accounted for to the journal.
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
