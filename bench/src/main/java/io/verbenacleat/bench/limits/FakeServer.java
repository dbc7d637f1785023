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
 * Simulates a server with batching behind the queue of a scheme. All running orders
 * advance by one token per step. The duration of a step grows with the batch size, and
 * faster beyond 64 orders, because their caches then no longer fit into memory. Not safe
 * for use by several threads.
 */
final class FakeServer {

	static final int FULL_BATCH = 64;

	private static final double STEP_MS = 20;

	private static final double STEP_MS_PER_ORDER = 0.55;

	private static final double EXTRA_STEP_MS_PER_ORDER_OVER_FULL = 1.5;

	private static final double NANOS_PER_MS = 1_000_000;

	/** Tolerance for rounding errors in the number of steps. */
	private static final double STEP_TOLERANCE = 1e-6;

	private final ManualControlThread control;

	private final Scheme scheme;

	private final OrderQueue<SimRequest> queue;

	private final Outcomes outcomes;

	private final Consumer<SimRequest> onRetry;

	private final PriorityQueue<Running> running = new PriorityQueue<>(Comparator.comparingDouble(Running::endStep));

	private final Map<Integer, Integer> inProgressByWorkspace = new HashMap<>();

	private double stepsDone;

	private long advancedAtNanos;

	private @Nullable Cancellable timer;

	FakeServer(ManualControlThread control, Scheme scheme, long seed, Outcomes outcomes, Consumer<SimRequest> onRetry) {
		this.control = control;
		this.scheme = scheme;
		this.queue = new OrderQueue<>(control.clock(), scheme.limits(), new SplittableRandom(seed));
		this.outcomes = outcomes;
		this.onRetry = onRetry;
	}

	static double stepMs(int batch) {
		return STEP_MS + STEP_MS_PER_ORDER * batch
				+ EXTRA_STEP_MS_PER_ORDER_OVER_FULL * Math.max(0, batch - FULL_BATCH);
	}

	int inProgress() {
		return this.queue.running() + this.queue.waiting();
	}

	/**
	 * Starts, queues or refuses a request, as the queue of the scheme decides.
	 * @param request the attempt
	 */
	void offer(SimRequest request) {
		QueueDecision<SimRequest> decision = this.queue.offer(this.scheme.schedulingAttributes(request), request);
		if (decision instanceof QueueDecision.Start<SimRequest> start) {
			this.inProgressByWorkspace.merge(request.workspace(), 1, Integer::sum);
			start(start.ticket());
		}
		else if (decision instanceof QueueDecision.Wait<SimRequest> wait) {
			QueueTicket<SimRequest> shed = wait.shed();
			this.inProgressByWorkspace.merge(request.workspace(), 1, Integer::sum);
			if (shed != null) {
				decrementInProgress(shed.item());
				refuse(shed.item());
			}
			long leaveAtMs = Math.min(wait.ticket().deadlineMs(), request.timeoutAtMs());
			schedule(leaveAtMs - nowMs(), () -> leaveQueue(wait.ticket()));
		}
		else {
			refuse(request);
		}
	}

	int inProgressOf(int workspace) {
		return this.inProgressByWorkspace.getOrDefault(workspace, 0);
	}

	private void decrementInProgress(SimRequest request) {
		this.inProgressByWorkspace.merge(request.workspace(), -1, Integer::sum);
	}

	private void leaveQueue(QueueTicket<SimRequest> ticket) {
		if (this.queue.withdraw(ticket)) {
			decrementInProgress(ticket.item());
			if (nowMs() >= ticket.item().timeoutAtMs()) {
				this.outcomes.recordTimeout(ticket.item(), 0, nowMs());
			}
			else {
				refuse(ticket.item());
			}
		}
	}

	private void refuse(SimRequest request) {
		long retryAfterMs = this.scheme.retryAfterMs(this.queue.nextRetryAfterMs());
		this.outcomes.recordRefusal(request, nowMs());
		if (request.attempt() < Outcomes.MAX_ATTEMPTS) {
			schedule(retryAfterMs, () -> this.onRetry.accept(request.retriedAt(nowMs())));
		}
	}

	private void start(QueueTicket<SimRequest> ticket) {
		advance();
		Running order = new Running(ticket, this.stepsDone, this.stepsDone + ticket.item().steps());
		this.running.add(order);
		this.outcomes.recordStart(ticket.item(), nowMs());
		schedule(ticket.item().timeoutAtMs() - nowMs(), () -> timeOut(order));
		scheduleNextFinish();
	}

	private void timeOut(Running order) {
		advance();
		if (this.running.remove(order)) {
			long generatedTokens = Math.round(this.stepsDone - order.startStep());
			this.outcomes.recordTimeout(order.ticket().item(), generatedTokens, nowMs());
			decrementInProgress(order.ticket().item());
			this.queue.complete(order.ticket());
			startWaiting();
		}
	}

	private void finishDueOrders() {
		advance();
		for (Running first = this.running.peek(); first != null
				&& first.endStep() <= this.stepsDone + STEP_TOLERANCE; first = this.running.peek()) {
			this.running.remove(first);
			SimRequest request = first.ticket().item();
			this.outcomes.recordFinish(request, nowMs());
			decrementInProgress(request);
			this.queue.complete(first.ticket());
		}
		startWaiting();
	}

	private void startWaiting() {
		for (QueueTicket<SimRequest> next = this.queue.startNext(); next != null; next = this.queue.startNext()) {
			start(next);
		}
		scheduleNextFinish();
	}

	private void advance() {
		long nowNanos = this.control.nanoTime();
		this.stepsDone += (nowNanos - this.advancedAtNanos) / NANOS_PER_MS / stepMs(this.running.size());
		this.advancedAtNanos = nowNanos;
	}

	private void scheduleNextFinish() {
		if (this.timer != null) {
			this.timer.cancel();
			this.timer = null;
		}
		Running first = this.running.peek();
		if (first != null) {
			double remainingMs = Math.max(0, first.endStep() - this.stepsDone) * stepMs(this.running.size());
			this.timer = this.control.schedule(Duration.ofNanos((long) Math.ceil(remainingMs * NANOS_PER_MS)),
					this::finishDueOrders);
		}
	}

	private void schedule(long delayMs, Runnable task) {
		this.control.schedule(Duration.ofMillis(Math.max(0, delayMs)), task);
	}

	private long nowMs() {
		return this.control.clock().millis();
	}

	private record Running(QueueTicket<SimRequest> ticket, double startStep, double endStep) {
	}

}
