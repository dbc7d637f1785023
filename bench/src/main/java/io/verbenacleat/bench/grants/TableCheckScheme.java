package io.verbenacleat.bench.grants;

import java.time.Duration;
import java.util.function.Consumer;

import io.verbenacleat.core.control.ManualControlThread;

/**
 * The baseline without grants: each request reserves and settles in the account row of
 * the table service. Not safe for use by several threads.
 */
final class TableCheckScheme implements BudgetScheme {

	private static final Duration RETRY_DELAY = Duration.ofSeconds(5);

	private final Workload workload;

	private final ManualControlThread control;

	private final long startMs;

	private final long[] freeTokens;

	private long reads;

	private long writes;

	TableCheckScheme(Workload workload, ManualControlThread control) {
		this.workload = workload;
		this.control = control;
		this.startMs = control.clock().millis();
		this.freeTokens = workload.budgetTokens().stream().mapToLong(Long::longValue).toArray();
	}

	@Override
	public void reserve(WorkloadRequest request, Consumer<Decision> onDecision) {
		if (!reachable(request)) {
			onDecision.accept(Decision.refused("TABLE_UNREACHABLE"));
			return;
		}
		this.reads++;
		if (this.freeTokens[request.account()] < request.reservedTokens()) {
			onDecision.accept(Decision.refused("SHORT"));
			return;
		}
		this.writes++;
		this.freeTokens[request.account()] -= request.reservedTokens();
		onDecision.accept(Decision.granted("table"));
	}

	@Override
	public void onStarted(WorkloadRequest request, String holderId) {
	}

	@Override
	public void onFinished(WorkloadRequest request, String holderId) {
		if (reachable(request)) {
			this.reads++;
			this.writes++;
			this.freeTokens[request.account()] += request.reservedTokens() - request.usedTokens();
		}
		else {
			this.control.schedule(RETRY_DELAY, () -> onFinished(request, holderId));
		}
	}

	@Override
	public void topUp(TopUp topUp) {
		this.freeTokens[topUp.account()] += topUp.tokens();
	}

	@Override
	public void crashHolder(HolderCrash crash) {
	}

	@Override
	public double outOfReachTokens() {
		return 0;
	}

	@Override
	public String diagnose(WorkloadRequest request) {
		return (reachable(request)) ? "RESERVED" : "TABLE_CUT";
	}

	@Override
	public TableLoad tableLoad() {
		return new TableLoad(this.reads, this.writes, 0);
	}

	private boolean reachable(WorkloadRequest request) {
		return this.workload.tableReachable(request.site(), this.control.clock().millis() - this.startMs);
	}

}
