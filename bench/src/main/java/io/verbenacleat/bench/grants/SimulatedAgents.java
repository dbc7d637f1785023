package io.verbenacleat.bench.grants;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.verbenacleat.proto.v1.CloseProcessResponse;
import io.verbenacleat.proto.v1.Receipt;

/**
 * Simulates all agents of the fleet: counts running orders and collects receipts by
 * holder, and answers the calls that close a holder. Not safe for use by several threads.
 */
final class SimulatedAgents {

	private final Map<String, Integer> runningByHolder = new HashMap<>();

	private final Map<String, List<Receipt>> receiptsByHolder = new HashMap<>();

	void orderStarted(String holder) {
		this.runningByHolder.merge(holder, 1, Integer::sum);
	}

	void orderFinished(Receipt receipt) {
		this.runningByHolder.merge(receipt.getHolderIncarnation(), -1, Integer::sum);
		this.receiptsByHolder.computeIfAbsent(receipt.getHolderIncarnation(), (holder) -> new ArrayList<>())
			.add(receipt);
	}

	CloseProcessResponse closeProcess(String holder) {
		return CloseProcessResponse.newBuilder()
			.setInProgress(this.runningByHolder.getOrDefault(holder, 0))
			.addAllReceipts(this.receiptsByHolder.getOrDefault(holder, List.of()))
			.build();
	}

}
