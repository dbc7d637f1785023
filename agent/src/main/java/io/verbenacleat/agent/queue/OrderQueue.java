package io.verbenacleat.agent.queue;

import java.time.Clock;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

/**
 * Decides which orders of a backend server run, wait or are refused. Workspaces take
 * turns by weighted fair queuing on tokens (start-time fair queuing); within a workspace
 * the more urgent priority goes first, then the earlier arrival. Does no I/O and sets no
 * timers: the owner withdraws a ticket at its {@link QueueTicket#leaveByMs}. Control
 * thread only.
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

	private double virtualTime;

	private long lastNumber;

	private int running;

	private int waiting;

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
		this.rate.full(this.running >= newLimits.maxRunning(), this.clock.millis());
	}

	/**
	 * Starts, queues or refuses an order.
	 * @param work what is known of it
	 * @param item the order
	 * @return the answer
	 */
	public Offer<T> offer(QueueWork work, T item) {
		long nowMs = this.clock.millis();
		long leaveByMs = Math.min(work.timeoutAtMs(), nowMs + this.limits.maxWaitMs());
		QueueTicket<T> ticket = new QueueTicket<>(work, item, ++this.lastNumber, leaveByMs);
		if (this.waiting == 0 && this.running < this.limits.maxRunning()) {
			lane(ticket).activate(this.virtualTime);
			begin(ticket);
			return new Offer.Start<>(ticket);
		}
		if (this.limits.maxWaiting() == 0) {
			return new Offer.Refuse<>("as many orders run as may");
		}
		enter(ticket);
		if (expectedWaitMs(ticket) > leaveByMs - nowMs) {
			withdraw(ticket);
			return new Offer.Refuse<>("the expected wait is too long");
		}
		if (this.waiting <= this.limits.maxWaiting()) {
			return new Offer.Wait<>(ticket, null);
		}
		QueueTicket<T> shed = leastUrgent();
		withdraw(shed);
		return (shed == ticket) ? new Offer.Refuse<>("the queue is full") : new Offer.Wait<>(ticket, shed);
	}

	/**
	 * Starts the next order that waits.
	 * @return its ticket, or {@code null} when none waits or the server is full
	 */
	public @Nullable QueueTicket<T> next() {
		if (this.waiting == 0 || this.running >= this.limits.maxRunning()) {
			return null;
		}
		QueueTicket<T> ticket = this.lanes.values()
			.stream()
			.filter((lane) -> !lane.waiting.isEmpty())
			.min(Comparator.<Lane<T>>comparingDouble((lane) -> lane.tag)
				.thenComparing((lane) -> lane.waiting.first(), QueueTicket.byUrgency()))
			.orElseThrow().waiting.first();
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
	 * @param usedTokens the tokens that it used
	 */
	public void ended(QueueTicket<T> ticket, long usedTokens) {
		if (ticket.state() != QueueTicket.State.RUNNING) {
			return;
		}
		ticket.setState(QueueTicket.State.OUT);
		long nowMs = this.clock.millis();
		Lane<T> lane = lane(ticket);
		lane.running--;
		lane.tag += (QueueTicket.cost(usedTokens) - ticket.cost()) / weight(ticket);
		this.running--;
		this.rate.ended(nowMs);
		this.rate.full(this.running >= this.limits.maxRunning() || this.waiting > 0, nowMs);
		prune(ticket);
	}

	/**
	 * Returns when a refused order may come back: the expected time until the queue has
	 * room, with jitter of up to the same duration.
	 * @return the time in milliseconds, 1 or more
	 */
	public long retryAfterMs() {
		long nowMs = this.clock.millis();
		double roomMs = Math.max(this.rate.expectedMs(1, nowMs),
				this.rate.expectedMs(this.waiting + 1, nowMs) - this.limits.maxWaitMs());
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

	private double expectedWaitMs(QueueTicket<T> ticket) {
		Lane<T> own = lane(ticket);
		int ahead = own.waiting.headSet(ticket).size();
		double start = own.tag;
		for (QueueTicket<T> earlier : own.waiting.headSet(ticket)) {
			start += earlier.cost() / weight(ticket);
		}
		for (Map.Entry<String, Lane<T>> other : this.lanes.entrySet()) {
			if (other.getValue() != own) {
				ahead += other.getValue().startingBefore(start, this.limits.weightOf(other.getKey()));
			}
		}
		return this.rate.expectedMs(ahead + 1, this.clock.millis());
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
		Lane<T> lane = lane(ticket);
		lane.activate(this.virtualTime);
		lane.waiting.add(ticket);
		this.waiting++;
		ticket.setState(QueueTicket.State.WAITING);
	}

	private void leave(QueueTicket<T> ticket) {
		lane(ticket).waiting.remove(ticket);
		this.waiting--;
		ticket.setState(QueueTicket.State.OUT);
	}

	private void begin(QueueTicket<T> ticket) {
		Lane<T> lane = lane(ticket);
		this.virtualTime = Math.max(this.virtualTime, lane.tag);
		lane.tag += ticket.cost() / weight(ticket);
		lane.running++;
		this.running++;
		ticket.setState(QueueTicket.State.RUNNING);
		this.rate.full(this.running >= this.limits.maxRunning(), this.clock.millis());
	}

	private Lane<T> lane(QueueTicket<T> ticket) {
		return this.lanes.computeIfAbsent(ticket.work().workspace(), (name) -> new Lane<>());
	}

	private int weight(QueueTicket<T> ticket) {
		return this.limits.weightOf(ticket.work().workspace());
	}

	// Forgets an idle workspace without debt, and all workspaces when the server is idle.
	private void prune(QueueTicket<T> ticket) {
		Lane<T> lane = lane(ticket);
		if (lane.running == 0 && lane.waiting.isEmpty() && lane.tag <= this.virtualTime) {
			this.lanes.remove(ticket.work().workspace());
		}
		if (this.running == 0 && this.waiting == 0) {
			this.lanes.clear();
			this.virtualTime = 0;
		}
	}

}
