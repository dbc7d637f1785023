package io.verbenacleat.agent.queue;

import java.time.Clock;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

/**
 * Bounded weighted fair queue of the orders for a backend server. The next order to start
 * comes from the workspace with the fewest running orders relative to its weight; within
 * a workspace, the more urgent priority starts first, then the earlier arrival. A
 * workspace above its share of the slots leaves a few of them free for the others. Does
 * no I/O and sets no timers: the owner withdraws a ticket at its
 * {@link QueueTicket#deadlineMs}. Control thread only.
 *
 * @param <T> the type of the orders
 */
public final class OrderQueue<T> {

	/** Used while there is no estimate of the completion rate. */
	private static final long DEFAULT_RETRY_AFTER_MS = 1_000;

	private final Clock clock;

	private final RandomGenerator random;

	private final Map<String, WorkspaceQueue<T>> workspaceQueues = new HashMap<>();

	private final ThroughputEstimator completionRate = new ThroughputEstimator();

	private QueueLimits limits;

	private long lastTicketNumber;

	private long lastStartNumber;

	private int running;

	private int waiting;

	/**
	 * Refusals minus completions since then, 0 to {@code maxRunning}. Approximates how
	 * many refused orders will retry first.
	 */
	private int refusedAhead;

	/**
	 * Creates an empty queue.
	 * @param clock the clock
	 * @param limits the limits
	 * @param random the source of jitter
	 */
	public OrderQueue(Clock clock, QueueLimits limits, RandomGenerator random) {
		this.clock = clock;
		this.limits = limits;
		this.random = random;
	}

	/**
	 * Changes the limits; orders that already run or wait are not removed.
	 * @param newLimits the limits
	 */
	public void setLimits(QueueLimits newLimits) {
		this.limits = newLimits;
		this.workspaceQueues.forEach((workspace, queue) -> queue.weight = newLimits.weightOf(workspace));
		this.completionRate.setSaturated(this.running >= newLimits.maxRunning(), this.clock.millis());
	}

	/**
	 * Starts, queues or refuses an order.
	 * @param attributes the attributes that determine its place
	 * @param item the order
	 * @return the decision
	 */
	public QueueDecision<T> offer(SchedulingAttributes attributes, T item) {
		long nowMs = this.clock.millis();
		WorkspaceQueue<T> queue = queueOf(attributes.workspace());
		long deadlineMs = Math.min(attributes.timeoutAtMs(), nowMs + maxWaitMs(queue));
		QueueTicket<T> ticket = new QueueTicket<>(attributes, item, ++this.lastTicketNumber, deadlineMs);
		if (queue.waiting.isEmpty() && mayStart(queue, activeWeightSum())) {

			start(ticket);
			return new QueueDecision.Start<>(ticket);
		}
		if (this.limits.maxWaiting() == 0) {
			removeIfEmpty(ticket);
			return new QueueDecision.Refuse<>("as many orders run as may");
		}
		enqueue(ticket);
		if (expectedWaitMs(ticket) > deadlineMs - nowMs) {
			withdraw(ticket);
			return new QueueDecision.Refuse<>("the expected wait is too long");
		}
		if (this.waiting <= this.limits.maxWaiting()) {
			return new QueueDecision.Wait<>(ticket, null);
		}
		QueueTicket<T> shed = leastUrgent();
		withdraw(shed);
		return (shed == ticket) ? new QueueDecision.Refuse<>("the queue is full")
				: new QueueDecision.Wait<>(ticket, shed);
	}

	/**
	 * Starts the next order from the queue.
	 * @return its ticket, or {@code null} when none waits or none may start
	 */
	public @Nullable QueueTicket<T> startNext() {
		if (this.waiting == 0 || this.running >= this.limits.maxRunning()) {
			return null;
		}
		int weightSum = activeWeightSum();
		QueueTicket<T> ticket = this.workspaceQueues.values()
			.stream()
			.filter((queue) -> !queue.waiting.isEmpty() && mayStart(queue, weightSum))
			.min(Comparator.<WorkspaceQueue<T>>comparingDouble((queue) -> queue.normalizedLoad(0))
				.thenComparingLong((queue) -> queue.lastStartNumber)
				.thenComparing((queue) -> queue.waiting.first(), QueueTicket.byUrgency()))
			.map((queue) -> queue.waiting.first())
			.orElse(null);
		if (ticket == null) {
			return null;
		}
		dequeue(ticket);
		start(ticket);
		return ticket;
	}

	/**
	 * Removes an order from the queue.
	 * @param ticket its ticket
	 * @return {@code false} when it does not wait
	 */
	public boolean withdraw(QueueTicket<T> ticket) {
		if (!ticket.waiting()) {
			return false;
		}
		dequeue(ticket);
		removeIfEmpty(ticket);
		return true;
	}

	/**
	 * Records the end of an order that was started; ignored when the order does not run.
	 * @param ticket its ticket
	 */
	public void complete(QueueTicket<T> ticket) {
		if (ticket.state() != QueueTicket.State.RUNNING) {
			return;
		}
		ticket.setState(QueueTicket.State.OUT);
		long nowMs = this.clock.millis();
		WorkspaceQueue<T> queue = queueOf(ticket.attributes().workspace());
		queue.running--;
		this.running--;
		this.refusedAhead = Math.max(0, this.refusedAhead - 1);
		this.completionRate.recordEvent(nowMs);
		this.completionRate.setSaturated(this.running >= this.limits.maxRunning() || this.waiting > 0, nowMs);
		removeIfEmpty(ticket);
	}

	/**
	 * Records a refusal and returns the retry delay: the expected time until the queue
	 * has had room for this order and those refused before it, plus jitter of up to the
	 * same duration. If it ignored the earlier refusals, all orders of a burst would
	 * retry within one interval between two completions.
	 * @return the delay in milliseconds, 1 or more
	 */
	public long nextRetryAfterMs() {
		this.refusedAhead = Math.min(this.refusedAhead + 1, this.limits.maxRunning());
		double expectedMs = this.completionRate.expectedMs(this.refusedAhead, this.clock.millis());
		double baseMs = (expectedMs > 0) ? expectedMs : DEFAULT_RETRY_AFTER_MS;
		return Math.round(baseMs * (1 + this.random.nextDouble())) + 1;
	}

	/**
	 * Returns the number of running orders.
	 * @return the count
	 */
	public int running() {
		return this.running;
	}

	/**
	 * Returns the number of waiting orders.
	 * @return the count
	 */
	public int waiting() {
		return this.waiting;
	}

	// A workspace above its share leaves the headroom free for the others.
	private boolean mayStart(WorkspaceQueue<T> queue, int weightSum) {
		int free = this.limits.maxRunning() - this.running;
		if (free <= 0 || free > this.limits.headroom()) {
			return free > 0;
		}
		return queue.normalizedLoad(0) < (double) this.limits.maxRunning() / weightSum;
	}

	private boolean isBelowShare(WorkspaceQueue<T> queue, int ahead) {
		return queue.normalizedLoad(ahead) < (double) this.limits.maxRunning() / activeWeightSum();
	}

	// A workspace below its share starts next; twice the wait covers the rare long gap
	// between completions.
	private long maxWaitMs(WorkspaceQueue<T> queue) {
		return this.limits.maxWaitMs() * ((isBelowShare(queue, queue.waiting.size())) ? 2 : 1);
	}

	private int activeWeightSum() {
		return this.workspaceQueues.values().stream().mapToInt((queue) -> queue.weight).sum();
	}

	private double expectedWaitMs(QueueTicket<T> ticket) {
		WorkspaceQueue<T> ownQueue = queueOf(ticket.attributes().workspace());
		int ahead = ownQueue.waiting.headSet(ticket).size();
		// Later orders of workspaces below their share overtake those of a workspace
		// above its share.
		double ownMs = (isBelowShare(ownQueue, ahead)) ? 0
				: ownQueue.startRate.expectedMs(ahead + 1, this.clock.millis());
		double loadAtStart = ownQueue.normalizedLoad(ahead);
		for (WorkspaceQueue<T> otherQueue : this.workspaceQueues.values()) {
			ahead += (otherQueue != ownQueue) ? otherQueue.countStartingBelow(loadAtStart) : 0;
		}
		return Math.max(ownMs, this.completionRate.expectedMs(ahead + 1, this.clock.millis()));
	}

	private QueueTicket<T> leastUrgent() {
		return this.workspaceQueues.values()
			.stream()
			.filter((queue) -> !queue.waiting.isEmpty())
			.max(Comparator.<WorkspaceQueue<T>>comparingInt((queue) -> queue.waiting.last().attributes().priority())
				.thenComparingInt((queue) -> queue.waiting.size())
				.thenComparing((queue) -> queue.waiting.last(), QueueTicket.byUrgency()))
			.orElseThrow().waiting.last();
	}

	private void enqueue(QueueTicket<T> ticket) {
		WorkspaceQueue<T> queue = queueOf(ticket.attributes().workspace());

		queue.waiting.add(ticket);
		queue.startRate.setSaturated(true, this.clock.millis());
		this.waiting++;
		ticket.setState(QueueTicket.State.WAITING);
	}

	private void dequeue(QueueTicket<T> ticket) {
		queueOf(ticket.attributes().workspace()).waiting.remove(ticket);
		this.waiting--;
		ticket.setState(QueueTicket.State.OUT);
	}

	private void start(QueueTicket<T> ticket) {
		WorkspaceQueue<T> queue = queueOf(ticket.attributes().workspace());
		queue.startRate.recordEvent(this.clock.millis());
		queue.startRate.setSaturated(!queue.waiting.isEmpty(), this.clock.millis());
		queue.running++;
		queue.lastStartNumber = ++this.lastStartNumber;
		this.running++;
		ticket.setState(QueueTicket.State.RUNNING);
		this.completionRate.setSaturated(this.running >= this.limits.maxRunning() || this.waiting > 0,
				this.clock.millis());
	}

	private WorkspaceQueue<T> queueOf(String workspace) {
		return this.workspaceQueues.computeIfAbsent(workspace,
				(name) -> new WorkspaceQueue<>(this.limits.weightOf(name)));
	}

	// Removes the queue of a workspace without orders, so that its weight no longer
	// counts.
	private void removeIfEmpty(QueueTicket<T> ticket) {
		WorkspaceQueue<T> queue = queueOf(ticket.attributes().workspace());
		if (queue.running == 0 && queue.waiting.isEmpty()) {
			this.workspaceQueues.remove(ticket.attributes().workspace());
		}
	}

}
