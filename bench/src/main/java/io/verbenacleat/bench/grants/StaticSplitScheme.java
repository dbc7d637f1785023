package io.verbenacleat.bench.grants;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

import io.verbenacleat.core.control.ManualControlThread;

/**
 * The baseline that divides each top-up equally among all holders. A request asks its
 * home holder and then up to six others, those of its own site first, and skips those
 * that have crashed or are separated by a partition. A crashed holder restarts with its
 * share after a minute. Not safe for use by several threads.
 */
final class StaticSplitScheme implements BudgetScheme {

	private static final int MAX_HOLDERS_ASKED = 7;

	private static final Duration RETRY_DELAY = Duration.ofSeconds(5);

	private static final Duration RESTART_DELAY = Duration.ofMinutes(1);

	private final Workload workload;

	private final ManualControlThread control;

	private final long startMs;

	private final long[][] freeTokens;

	private final boolean[] crashed;

	StaticSplitScheme(Workload workload, ManualControlThread control) {
		this.workload = workload;
		this.control = control;
		this.startMs = control.clock().millis();
		int holders = workload.sites() * workload.holdersPerSite();
		this.crashed = new boolean[holders];
		this.freeTokens = new long[holders][workload.budgetTokens().size()];
		for (int holder = 0; holder < holders; holder++) {
			for (int account = 0; account < workload.budgetTokens().size(); account++) {
				this.freeTokens[holder][account] = workload.budgetTokens().get(account) / holders;
			}
		}
	}

	@Override
	public void reserve(WorkloadRequest request, Consumer<Decision> onDecision) {
		for (int holder : rankedHolders(request).subList(0, MAX_HOLDERS_ASKED)) {
			if (reachable(request, holder) && this.freeTokens[holder][request.account()] >= request.reservedTokens()) {
				this.freeTokens[holder][request.account()] -= request.reservedTokens();
				onDecision.accept(Decision.granted(Integer.toString(holder)));
				return;
			}
		}
		onDecision.accept(Decision.refused("SHORT"));
	}

	private List<Integer> rankedHolders(WorkloadRequest request) {
		List<Integer> ranked = new ArrayList<>();
		Random random = new Random(request.account());
		for (int i = 0; i < this.workload.sites(); i++) {
			int site = (request.site() + i) % this.workload.sites();
			int first = random.nextInt(this.workload.holdersPerSite());
			for (int j = 0; j < this.workload.holdersPerSite(); j++) {
				ranked.add(site * this.workload.holdersPerSite() + (first + j) % this.workload.holdersPerSite());
			}
		}
		return ranked;
	}

	@Override
	public void onStarted(WorkloadRequest request, String holderId) {
	}

	@Override
	public void onFinished(WorkloadRequest request, String holderId) {
		int holder = Integer.parseInt(holderId);
		if (reachable(request, holder)) {
			this.freeTokens[holder][request.account()] += request.reservedTokens() - request.usedTokens();
		}
		else {
			this.control.schedule(RETRY_DELAY, () -> onFinished(request, holderId));
		}
	}

	@Override
	public void topUp(TopUp topUp) {
		for (int holder = 0; holder < this.crashed.length; holder++) {
			addShare(holder, topUp);
		}
	}

	private void addShare(int holder, TopUp topUp) {
		if (this.workload.tableReachable(holder / this.workload.holdersPerSite(), nowMs())) {
			this.freeTokens[holder][topUp.account()] += topUp.tokens() / this.crashed.length;
		}
		else {
			this.control.schedule(RETRY_DELAY, () -> addShare(holder, topUp));
		}
	}

	@Override
	public void crashHolder(HolderCrash crash) {
		int holder = crash.site() * this.workload.holdersPerSite() + crash.slot();
		this.crashed[holder] = true;
		this.control.schedule(RESTART_DELAY, () -> this.crashed[holder] = false);
	}

	@Override
	public double outOfReachTokens() {
		double totalTokens = 0;
		for (long[] tokens : this.freeTokens) {
			for (long free : tokens) {
				totalTokens += free;
			}
		}
		return totalTokens * (this.crashed.length - 1) / this.crashed.length;
	}

	@Override
	public String diagnose(WorkloadRequest request) {
		long reachableTokens = 0;
		for (int holder = 0; holder < this.crashed.length; holder++) {
			reachableTokens += (reachable(request, holder)) ? this.freeTokens[holder][request.account()] : 0;
		}
		return (reachableTokens >= request.reservedTokens()) ? "SPLIT" : "OUT_OF_REACH";
	}

	@Override
	public TableLoad tableLoad() {
		return new TableLoad(0, 0, 0);
	}

	private boolean reachable(WorkloadRequest request, int holder) {
		int site = holder / this.workload.holdersPerSite();
		return !this.crashed[holder]
				&& (site == request.site() || this.workload.connected(site, request.site(), nowMs()));
	}

	private long nowMs() {
		return this.control.clock().millis() - this.startMs;
	}

}
