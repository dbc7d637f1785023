package io.verbenacleat.bench.grants;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

import io.verbenacleat.core.control.ManualControlThread;

/**
 * The baseline with an equal share of each top-up for each holder. A request asks its
 * home holder and then up to six others, those of its own site first, unless they are
 * lost or behind a partition. A lost holder comes back with its share after a minute.
 */
final class StaticSplitScheme implements BudgetScheme {

	private static final int MAX_ASKED = 7;

	private static final Duration RETRY_DELAY = Duration.ofSeconds(5);

	private static final Duration RESTART_DELAY = Duration.ofMinutes(1);

	private final Work work;

	private final ManualControlThread control;

	private final long startMs;

	private final long[][] freeTokens;

	private final boolean[] lost;

	StaticSplitScheme(Work work, ManualControlThread control) {
		this.work = work;
		this.control = control;
		this.startMs = control.clock().millis();
		int holders = work.sites() * work.holdersPerSite();
		this.lost = new boolean[holders];
		this.freeTokens = new long[holders][work.budgetTokens().size()];
		for (int holder = 0; holder < holders; holder++) {
			for (int account = 0; account < work.budgetTokens().size(); account++) {
				this.freeTokens[holder][account] = work.budgetTokens().get(account) / holders;
			}
		}
	}

	@Override
	public void reserve(WorkRequest request, Consumer<Decision> answer) {
		for (int holder : order(request).subList(0, MAX_ASKED)) {
			if (reachable(request, holder) && this.freeTokens[holder][request.account()] >= request.reservedTokens()) {
				this.freeTokens[holder][request.account()] -= request.reservedTokens();
				answer.accept(Decision.granted(Integer.toString(holder)));
				return;
			}
		}
		answer.accept(Decision.refused("SHORT"));
	}

	private List<Integer> order(WorkRequest request) {
		List<Integer> order = new ArrayList<>();
		Random random = new Random(request.account());
		for (int i = 0; i < this.work.sites(); i++) {
			int site = (request.site() + i) % this.work.sites();
			int first = random.nextInt(this.work.holdersPerSite());
			for (int j = 0; j < this.work.holdersPerSite(); j++) {
				order.add(site * this.work.holdersPerSite() + (first + j) % this.work.holdersPerSite());
			}
		}
		return order;
	}

	@Override
	public void started(WorkRequest request, String place) {
	}

	@Override
	public void finished(WorkRequest request, String place) {
		int holder = Integer.parseInt(place);
		if (reachable(request, holder)) {
			this.freeTokens[holder][request.account()] += request.reservedTokens() - request.usedTokens();
		}
		else {
			this.control.schedule(RETRY_DELAY, () -> finished(request, place));
		}
	}

	@Override
	public void topUp(TopUp topUp) {
		for (int holder = 0; holder < this.lost.length; holder++) {
			addShare(holder, topUp);
		}
	}

	private void addShare(int holder, TopUp topUp) {
		if (this.work.tableReachable(holder / this.work.holdersPerSite(), nowMs())) {
			this.freeTokens[holder][topUp.account()] += topUp.tokens() / this.lost.length;
		}
		else {
			this.control.schedule(RETRY_DELAY, () -> addShare(holder, topUp));
		}
	}

	@Override
	public void lose(HolderLoss loss) {
		int holder = loss.site() * this.work.holdersPerSite() + loss.slot();
		this.lost[holder] = true;
		this.control.schedule(RESTART_DELAY, () -> this.lost[holder] = false);
	}

	@Override
	public double outOfReachTokens() {
		double all = 0;
		for (long[] tokens : this.freeTokens) {
			for (long free : tokens) {
				all += free;
			}
		}
		return all * (this.lost.length - 1) / this.lost.length;
	}

	@Override
	public String diagnose(WorkRequest request) {
		long reachable = 0;
		for (int holder = 0; holder < this.lost.length; holder++) {
			reachable += (reachable(request, holder)) ? this.freeTokens[holder][request.account()] : 0;
		}
		return (reachable >= request.reservedTokens()) ? "SPLIT" : "OUT_OF_REACH";
	}

	@Override
	public TableLoad load() {
		return new TableLoad(0, 0, 0);
	}

	private boolean reachable(WorkRequest request, int holder) {
		int site = holder / this.work.holdersPerSite();
		return !this.lost[holder] && (site == request.site() || this.work.connected(site, request.site(), nowMs()));
	}

	private long nowMs() {
		return this.control.clock().millis() - this.startMs;
	}

}
