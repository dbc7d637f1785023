package io.verbenacleat.bench.grants;

import java.time.Duration;
import java.time.Instant;
import java.util.function.BiFunction;

import io.verbenacleat.core.control.ManualControlThread;

/**
 * Replays a workload against one scheme in simulated time. Used for one run. Not safe for
 * use by several threads.
 */
final class Replay {

	private static final Duration SAMPLE_INTERVAL = Duration.ofMinutes(1);

	private static final long DRAIN_MS = Duration.ofMinutes(5).toMillis();

	private final Workload workload;

	private final ManualControlThread control = new ManualControlThread(Instant.EPOCH.plusSeconds(1_000_000));

	private final long startMs = this.control.clock().millis();

	private final BudgetScheme scheme;

	private final RunStatistics statistics;

	Replay(Workload workload, BiFunction<Workload, ManualControlThread, BudgetScheme> scheme) {
		this.workload = workload;
		this.statistics = new RunStatistics(workload);
		this.scheme = scheme.apply(workload, this.control);
	}

	BudgetScheme scheme() {
		return this.scheme;
	}

	/**
	 * Runs all requests, top-ups and faults of the workload.
	 * @return the statistics of the run
	 */
	RunStatistics run() {
		this.workload.topUps().forEach((topUp) -> scheduleAt(topUp.atMs(), () -> {
			this.scheme.topUp(topUp);
			this.statistics.recordTopUp(topUp);
		}));
		this.workload.crashes().forEach((crash) -> scheduleAt(crash.atMs(), () -> this.scheme.crashHolder(crash)));
		this.control.scheduleWithFixedDelay(SAMPLE_INTERVAL, () -> {
			this.statistics.outOfReachSum += this.scheme.outOfReachTokens();
			this.statistics.outOfReachSamples++;
		});
		for (WorkloadRequest request : this.workload.requests()) {
			advanceTo(request.atMs());
			this.scheme.reserve(request, (decision) -> onDecision(request, decision));
			this.control.runPending();
		}
		advanceTo(this.workload.durationMs() + DRAIN_MS);
		this.control.close();
		return this.statistics;
	}

	private void scheduleAt(long atMs, Runnable task) {
		this.control.schedule(Duration.ofMillis(atMs), task);
	}

	private void advanceTo(long atMs) {
		long nowMs = this.control.clock().millis() - this.startMs;
		this.control.advance(Duration.ofMillis(Math.max(0, atMs - nowMs)));
	}

	private void onDecision(WorkloadRequest request, Decision decision) {
		boolean tableReachable = this.workload.tableReachable(request.site(),
				this.control.clock().millis() - this.startMs);
		boolean falselyRefused = !decision.granted() && this.statistics.coversRequest(request);
		boolean avoidable = falselyRefused && this.statistics.coversRequestAndReservations(request);
		this.statistics.recordDecision(request, tableReachable, falselyRefused, avoidable);
		if (falselyRefused) {
			String cause = (avoidable) ? this.scheme.diagnose(request) : "IN_FLIGHT";
			String link = (tableReachable) ? "connected" : "cut";
			this.statistics.falseRefusalsByCause.merge(link + "/" + decision.reason() + "/" + cause, 1L, Long::sum);
		}
		if (decision.granted()) {
			this.statistics.recordStart(request);
			this.scheme.onStarted(request, decision.holderId());
			this.control.schedule(Duration.ofMillis(request.durationMs()), () -> {
				this.statistics.recordFinish(request);
				this.scheme.onFinished(request, decision.holderId());
			});
		}
	}

}
