package io.verbenacleat.bench.limits;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import io.verbenacleat.agent.queue.OrderQueue;
import io.verbenacleat.agent.queue.QueueDecision;
import io.verbenacleat.agent.queue.QueueTicket;
import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ManualControlThread;
import org.jspecify.annotations.Nullable;

/**
 * A server that batches, behind the queue of a scheme. All running orders advance by one
 * token per step. A step takes longer with the batch, and much longer beyond 64 orders,
 * when their caches no longer fit the memory. Not safe for use by several threads.
 */
final class FakeServer {

	static final int FULL_BATCH = 64;

	private static final double STEP_MS = 20;

	private static final double STEP_MS_PER_ORDER = 0.55;

	private static final double STEP_MS_PER_ORDER_OVER = 1.5;

	private static final double NANOS_PER_MS = 1_000_000;

	private static final double ROUNDING = 1e-6;

	private final ManualControlThread control;

	private final Scheme scheme;

	private final OrderQueue<SimRequest> queue;

	private final Outcomes outcomes;

	private final Consumer<SimRequest> arrivals;

	private final PriorityQueue<Running> running = new PriorityQueue<>(Comparator.comparingDouble(Running::endStep));

	private final Map<Integer, Integer> perWorkspace = new HashMap<>();

	private double step;

	private long changedNanos;

	private @Nullable Cancellable timer;

	FakeServer(ManualControlThread control, Scheme scheme, long seed, Outcomes outcomes,
			Consumer<SimRequest> arrivals) {
		this.control = control;
		this.scheme = scheme;
		this.queue = new OrderQueue<>(control.clock(), scheme.limits(), new SplittableRandom(seed));
		this.outcomes = outcomes;
		this.arrivals = arrivals;
	}

	static double stepMs(int batch) {
		return STEP_MS + STEP_MS_PER_ORDER * batch + STEP_MS_PER_ORDER_OVER * Math.max(0, batch - FULL_BATCH);
	}

	int inProgress() {
		return this.queue.running() + this.queue.waiting();
	}

	void offer(SimRequest request) {
		QueueDecision<SimRequest> offer = this.queue.offer(this.scheme.work(request), request);
		if (offer instanceof QueueDecision.Start<SimRequest> start) {
			this.perWorkspace.merge(request.workspace(), 1, Integer::sum);
			start(start.ticket());
		}
		else if (offer instanceof QueueDecision.Wait<SimRequest> wait) {
			QueueTicket<SimRequest> shed = wait.shed();
			this.perWorkspace.merge(request.workspace(), 1, Integer::sum);
			if (shed != null) {
				left(shed.item());
				refuse(shed.item());
			}
			long leaveAtMs = Math.min(wait.ticket().deadlineMs(), request.timeoutAtMs());
			after(leaveAtMs - nowMs(), () -> leave(wait.ticket()));
		}
		else {
			refuse(request);
		}
	}

	int inProgressOf(int workspace) {
		return this.perWorkspace.getOrDefault(workspace, 0);
	}

	private void left(SimRequest request) {
		this.perWorkspace.merge(request.workspace(), -1, Integer::sum);
	}

	private void leave(QueueTicket<SimRequest> ticket) {
		if (this.queue.withdraw(ticket)) {
			left(ticket.item());
			if (nowMs() >= ticket.item().timeoutAtMs()) {
				this.outcomes.timedOut(ticket.item(), 0, nowMs());
			}
			else {
				refuse(ticket.item());
			}
		}
	}

	private void refuse(SimRequest request) {
		long retryAfterMs = this.scheme.retryAfterMs(this.queue.nextRetryAfterMs());
		this.outcomes.refused(request, nowMs());
		if (request.attempt() < Outcomes.MAX_ATTEMPTS) {
			after(retryAfterMs, () -> this.arrivals.accept(request.returnedAt(nowMs())));
		}
	}

	private void start(QueueTicket<SimRequest> ticket) {
		advance();
		Running entry = new Running(ticket, this.step, this.step + ticket.item().steps());
		this.running.add(entry);
		this.outcomes.started(ticket.item(), nowMs());
		after(ticket.item().timeoutAtMs() - nowMs(), () -> timeOut(entry));
		plan();
	}

	private void timeOut(Running entry) {
		advance();
		if (this.running.remove(entry)) {
			long made = Math.round(this.step - entry.startStep());
			this.outcomes.timedOut(entry.ticket().item(), made, nowMs());
			left(entry.ticket().item());
			this.queue.complete(entry.ticket());
			startWaiting();
		}
	}

	private void finishDue() {
		advance();
		for (Running first = this.running.peek(); first != null
				&& first.endStep() <= this.step + ROUNDING; first = this.running.peek()) {
			this.running.remove(first);
			SimRequest request = first.ticket().item();
			this.outcomes.finished(request, nowMs());
			left(request);
			this.queue.complete(first.ticket());
		}
		startWaiting();
	}

	private void startWaiting() {
		for (QueueTicket<SimRequest> next = this.queue.startNext(); next != null; next = this.queue.startNext()) {
			start(next);
		}
		plan();
	}

	private void advance() {
		long nowNanos = this.control.nanoTime();
		this.step += (nowNanos - this.changedNanos) / NANOS_PER_MS / stepMs(this.running.size());
		this.changedNanos = nowNanos;
	}

	private void plan() {
		if (this.timer != null) {
			this.timer.cancel();
			this.timer = null;
		}
		Running first = this.running.peek();
		if (first != null) {
			double leftMs = Math.max(0, first.endStep() - this.step) * stepMs(this.running.size());
			this.timer = this.control.schedule(Duration.ofNanos((long) Math.ceil(leftMs * NANOS_PER_MS)),
					this::finishDue);
		}
	}

	private void after(long delayMs, Runnable task) {
		this.control.schedule(Duration.ofMillis(Math.max(0, delayMs)), task);
	}

	private long nowMs() {
		return this.control.clock().millis();
	}

	private record Running(QueueTicket<SimRequest> ticket, double startStep, double endStep) {
	}

}
