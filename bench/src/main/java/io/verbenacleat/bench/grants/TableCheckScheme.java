package io.verbenacleat.bench.grants;

import java.time.Duration;
import java.util.function.Consumer;

import io.verbenacleat.core.control.ManualControlThread;

/**
 * The baseline without grants: each request reserves and settles in the account row.
 */
final class TableCheckScheme implements BudgetScheme {

	private static final Duration RETRY_DELAY = Duration.ofSeconds(5);

	private final Work work;

	private final ManualControlThread control;

	private final long startMs;

	private final long[] freeTokens;

	private long reads;

	private long writes;

	TableCheckScheme(Work work, ManualControlThread control) {
		this.work = work;
		this.control = control;
		this.startMs = control.clock().millis();
		this.freeTokens = work.budgetTokens().stream().mapToLong(Long::longValue).toArray();
	}

	@Override
	public void reserve(WorkRequest request, Consumer<Decision> answer) {
		if (!reachable(request)) {
			answer.accept(Decision.refused("TABLE_UNREACHABLE"));
			return;
		}
		this.reads++;
		if (this.freeTokens[request.account()] < request.reservedTokens()) {
			answer.accept(Decision.refused("SHORT"));
			return;
		}
		this.writes++;
		this.freeTokens[request.account()] -= request.reservedTokens();
		answer.accept(Decision.granted("table"));
	}

	@Override
	public void started(WorkRequest request, String place) {
	}

	@Override
	public void finished(WorkRequest request, String place) {
		if (reachable(request)) {
			this.reads++;
			this.writes++;
			this.freeTokens[request.account()] += request.reservedTokens() - request.usedTokens();
		}
		else {
			this.control.schedule(RETRY_DELAY, () -> finished(request, place));
		}
	}

	@Override
	public void topUp(TopUp topUp) {
		this.freeTokens[topUp.account()] += topUp.tokens();
	}

	@Override
	public void lose(HolderLoss loss) {
	}

	@Override
	public double outOfReachTokens() {
		return 0;
	}

	@Override
	public String diagnose(WorkRequest request) {
		return (reachable(request)) ? "RESERVED" : "TABLE_CUT";
	}

	@Override
	public TableLoad load() {
		return new TableLoad(this.reads, this.writes, 0);
	}

	private boolean reachable(WorkRequest request) {
		return this.work.tableReachable(request.site(), this.control.clock().millis() - this.startMs);
	}

}
