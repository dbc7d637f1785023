package io.verbenacleat.bench.grants;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.verbenacleat.proto.v1.CloseProcessResponse;
import io.verbenacleat.proto.v1.Receipt;

/**
 * What the agents of the fleet know together: running orders and receipts by holder. Used
 * by one thread.
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
