package io.verbenacleat.bench.grants;

import java.time.Duration;
import java.time.Instant;
import java.util.function.BiFunction;

import io.verbenacleat.core.control.ManualControlThread;

/**
 * Runs the work of an experiment against one scheme, in simulated time. Used by one
 * thread.
 */
final class Replay {

	private static final Duration SAMPLE_INTERVAL = Duration.ofMinutes(1);

	private static final long DRAIN_MS = Duration.ofMinutes(5).toMillis();

	private final Work work;

	private final ManualControlThread control = new ManualControlThread(Instant.EPOCH.plusSeconds(1_000_000));

	private final long startMs = this.control.clock().millis();

	private final BudgetScheme scheme;

	private final Tally tally;

	Replay(Work work, BiFunction<Work, ManualControlThread, BudgetScheme> scheme) {
		this.work = work;
		this.tally = new Tally(work);
		this.scheme = scheme.apply(work, this.control);
	}

	BudgetScheme scheme() {
		return this.scheme;
	}

	/**
	 * Runs all requests and the faults among them.
	 * @return what was counted
	 */
	Tally run() {
		this.work.topUps().forEach((topUp) -> at(topUp.atMs(), () -> {
			this.scheme.topUp(topUp);
			this.tally.topUp(topUp);
		}));
		this.work.losses().forEach((loss) -> at(loss.atMs(), () -> this.scheme.lose(loss)));
		this.control.scheduleWithFixedDelay(SAMPLE_INTERVAL, () -> {
			this.tally.outOfReachSum += this.scheme.outOfReachTokens();
			this.tally.outOfReachSamples++;
		});
		for (WorkRequest request : this.work.requests()) {
			advanceTo(request.atMs());
			this.scheme.reserve(request, (decision) -> decided(request, decision));
			this.control.runPending();
		}
		advanceTo(this.work.durationMs() + DRAIN_MS);
		this.control.close();
		return this.tally;
	}

	private void at(long atMs, Runnable task) {
		this.control.schedule(Duration.ofMillis(atMs), task);
	}

	private void advanceTo(long atMs) {
		long nowMs = this.control.clock().millis() - this.startMs;
		this.control.advance(Duration.ofMillis(Math.max(0, atMs - nowMs)));
	}

	private void decided(WorkRequest request, Decision decision) {
		boolean tableReachable = this.work.tableReachable(request.site(), this.control.clock().millis() - this.startMs);
		boolean falselyRefused = !decision.granted() && this.tally.covered(request);
		boolean avoidable = falselyRefused && this.tally.coveredWithRunning(request);
		this.tally.counted(request, tableReachable, falselyRefused, avoidable);
		if (falselyRefused) {
			String cause = (avoidable) ? this.scheme.diagnose(request) : "IN_FLIGHT";
			String link = (tableReachable) ? "connected" : "cut";
			this.tally.falseByCause.merge(link + "/" + decision.reason() + "/" + cause, 1L, Long::sum);
		}
		if (decision.granted()) {
			this.tally.started(request);
			this.scheme.started(request, decision.place());
			this.control.schedule(Duration.ofMillis(request.durationMs()), () -> {
				this.tally.finished(request);
				this.scheme.finished(request, decision.place());
			});
		}
	}

}
