package io.verbenacleat.agent.queue;

import java.time.Clock;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

/**
 * Decides which orders of a backend server run, wait or are refused. The workspace with
 * the fewest running orders relative to its weight goes first; within a workspace the
 * more urgent priority, then the earlier arrival. A workspace over its share of the slots
 * leaves a few of them free for the others. Does no I/O and sets no timers: the owner
 * withdraws a ticket at its {@link QueueTicket#deadlineMs}. Control thread only.
 *
 * @param <T> the type of the orders
 */
public final class OrderQueue<T> {

	/** Used while the rate of ends is not known. */
	private static final long DEFAULT_RETRY_AFTER_MS = 1_000;

	private final Clock clock;

	private final RandomGenerator random;

	private final Map<String, Lane<T>> lanes = new HashMap<>();

	private final EndRate rate = new EndRate();

	private QueueLimits limits;

	private long lastNumber;

	private long lastStart;

	private int running;

	private int waiting;

	/** Refusals that no end of an order has made up for, at most the running orders. */
	private int turnedAway;

	/**
	 * Creates an empty queue.
	 * @param clock the clock
	 * @param limits the bounds
	 * @param random the source of jitter
	 */
	public OrderQueue(Clock clock, QueueLimits limits, RandomGenerator random) {
		this.clock = clock;
		this.limits = limits;
		this.random = random;
	}

	/**
	 * Changes the bounds; orders that already run or wait keep their places.
	 * @param newLimits the bounds
	 */
	public void setLimits(QueueLimits newLimits) {
		this.limits = newLimits;
		this.lanes.forEach((workspace, lane) -> lane.weight = newLimits.weightOf(workspace));
		this.rate.full(this.running >= newLimits.maxRunning(), this.clock.millis());
	}

	/**
	 * Starts, queues or refuses an order.
	 * @param work what is known of it
	 * @param item the order
	 * @return the answer
	 */
	public QueueDecision<T> offer(SchedulingAttributes work, T item) {
		long nowMs = this.clock.millis();
		Lane<T> lane = lane(work.workspace());
		long leaveByMs = Math.min(work.timeoutAtMs(), nowMs + maxWaitMs(lane));
		QueueTicket<T> ticket = new QueueTicket<>(work, item, ++this.lastNumber, leaveByMs);
		if (lane.waiting.isEmpty() && mayStart(lane, activeWeights())) {

			begin(ticket);
			return new QueueDecision.Start<>(ticket);
		}
		if (this.limits.maxWaiting() == 0) {
			prune(ticket);
			return new QueueDecision.Refuse<>("as many orders run as may");
		}
		enter(ticket);
		if (expectedWaitMs(ticket) > leaveByMs - nowMs) {
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
	 * Starts the next order that waits.
	 * @return its ticket, or {@code null} when none waits or the server is full
	 */
	public @Nullable QueueTicket<T> startNext() {
		if (this.waiting == 0 || this.running >= this.limits.maxRunning()) {
			return null;
		}
		int weights = activeWeights();
		QueueTicket<T> ticket = this.lanes.values()
			.stream()
			.filter((lane) -> !lane.waiting.isEmpty() && mayStart(lane, weights))
			.min(Comparator.<Lane<T>>comparingDouble((lane) -> lane.level(0))
				.thenComparingLong((lane) -> lane.lastStart)
				.thenComparing((lane) -> lane.waiting.first(), QueueTicket.byUrgency()))
			.map((lane) -> lane.waiting.first())
			.orElse(null);
		if (ticket == null) {
			return null;
		}
		leave(ticket);
		begin(ticket);
		return ticket;
	}

	/**
	 * Takes an order that has not started out of the queue.
	 * @param ticket its ticket
	 * @return {@code false} when it does not wait
	 */
	public boolean withdraw(QueueTicket<T> ticket) {
		if (!ticket.waiting()) {
			return false;
		}
		leave(ticket);
		prune(ticket);
		return true;
	}

	/**
	 * Notes the end of an order that was started.
	 * @param ticket its ticket
	 */
	public void complete(QueueTicket<T> ticket) {
		if (ticket.state() != QueueTicket.State.RUNNING) {
			return;
		}
		ticket.setState(QueueTicket.State.OUT);
		long nowMs = this.clock.millis();
		Lane<T> lane = lane(ticket.work().workspace());
		lane.running--;
		this.running--;
		this.turnedAway = Math.max(0, this.turnedAway - 1);
		this.rate.ended(nowMs);
		this.rate.full(this.running >= this.limits.maxRunning() || this.waiting > 0, nowMs);
		prune(ticket);
	}

	/**
	 * Notes a refusal and returns when the order may come back: the expected time until
	 * the queue has had room for it and for those refused before it, with jitter of up to
	 * the same duration. Without those refused before it, a burst would come back within
	 * one interval between two ends.
	 * @return the time in milliseconds, 1 or more
	 */
	public long nextRetryAfterMs() {
		this.turnedAway = Math.min(this.turnedAway + 1, this.limits.maxRunning());
		double roomMs = this.rate.expectedMs(this.turnedAway, this.clock.millis());
		double baseMs = (roomMs > 0) ? roomMs : DEFAULT_RETRY_AFTER_MS;
		return Math.round(baseMs * (1 + this.random.nextDouble())) + 1;
	}

	/**
	 * Returns how many orders run.
	 * @return the count
	 */
	public int running() {
		return this.running;
	}

	/**
	 * Returns how many orders wait.
	 * @return the count
	 */
	public int waiting() {
		return this.waiting;
	}

	// A workspace over its share leaves slots free for the others.
	private boolean mayStart(Lane<T> lane, int weights) {
		int free = this.limits.maxRunning() - this.running;
		if (free <= 0 || free > this.limits.headroom()) {
			return free > 0;
		}
		return lane.level(0) < (double) this.limits.maxRunning() / weights;
	}

	private boolean belowShare(Lane<T> lane, int ahead) {
		return lane.level(ahead) < (double) this.limits.maxRunning() / activeWeights();
	}

	// Below its share a workspace is next in line; a second wait bound covers the rare
	// pause
	// without an end.
	private long maxWaitMs(Lane<T> lane) {
		return this.limits.maxWaitMs() * ((belowShare(lane, lane.waiting.size())) ? 2 : 1);
	}

	private int activeWeights() {
		return this.lanes.values().stream().mapToInt((lane) -> lane.weight).sum();
	}

	private double expectedWaitMs(QueueTicket<T> ticket) {
		Lane<T> own = lane(ticket.work().workspace());
		int ahead = own.waiting.headSet(ticket).size();
		// Later orders of workspaces below their share overtake a workspace over its
		// share.
		double ownMs = (belowShare(own, ahead)) ? 0 : own.starts.expectedMs(ahead + 1, this.clock.millis());
		double start = own.level(ahead);
		for (Lane<T> other : this.lanes.values()) {
			ahead += (other != own) ? other.startingBelow(start) : 0;
		}
		return Math.max(ownMs, this.rate.expectedMs(ahead + 1, this.clock.millis()));
	}

	private QueueTicket<T> leastUrgent() {
		return this.lanes.values()
			.stream()
			.filter((lane) -> !lane.waiting.isEmpty())
			.max(Comparator.<Lane<T>>comparingInt((lane) -> lane.waiting.last().work().priority())
				.thenComparingInt((lane) -> lane.waiting.size())
				.thenComparing((lane) -> lane.waiting.last(), QueueTicket.byUrgency()))
			.orElseThrow().waiting.last();
	}

	private void enter(QueueTicket<T> ticket) {
		Lane<T> lane = lane(ticket.work().workspace());

		lane.waiting.add(ticket);
		lane.starts.full(true, this.clock.millis());
		this.waiting++;
		ticket.setState(QueueTicket.State.WAITING);
	}

	private void leave(QueueTicket<T> ticket) {
		lane(ticket.work().workspace()).waiting.remove(ticket);
		this.waiting--;
		ticket.setState(QueueTicket.State.OUT);
	}

	private void begin(QueueTicket<T> ticket) {
		Lane<T> lane = lane(ticket.work().workspace());
		lane.starts.ended(this.clock.millis());
		lane.starts.full(!lane.waiting.isEmpty(), this.clock.millis());
		lane.running++;
		lane.lastStart = ++this.lastStart;
		this.running++;
		ticket.setState(QueueTicket.State.RUNNING);
		this.rate.full(this.running >= this.limits.maxRunning() || this.waiting > 0, this.clock.millis());
	}

	private Lane<T> lane(String workspace) {
		return this.lanes.computeIfAbsent(workspace, (name) -> new Lane<>(this.limits.weightOf(name)));
	}

	// Forgets a workspace without orders.
	private void prune(QueueTicket<T> ticket) {
		Lane<T> lane = lane(ticket.work().workspace());
		if (lane.running == 0 && lane.waiting.isEmpty()) {
			this.lanes.remove(ticket.work().workspace());
		}
	}

}
