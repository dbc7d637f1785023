package io.verbenacleat.agent.queue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import io.verbenacleat.core.config.WorkspaceWeight;
import io.verbenacleat.core.control.ManualControlThread;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

/**
 * Guards against starvation of a small workspace, shedding of the wrong order, and waits
 * that are known to be too long.
 */
public class OrderQueueTests {

	private ManualControlThread control = new ManualControlThread(Instant.EPOCH);

	private OrderQueue<String> queue = queue(new QueueLimits(1, 4, 2_000, List.of()));

	@BeforeMethod
	public void reset() {
		this.control = new ManualControlThread(Instant.EPOCH);
		this.queue = queue(new QueueLimits(1, 4, 2_000, List.of()));
	}

	@Test
	public void takesTurnsBetweenWorkspacesAndThenByPriority() {
		QueueTicket<String> first = start("large", "l1");
		offer("large", 5, "l2");
		offer("large", 1, "l3");
		offer("small", 9, "s1");
		this.queue.complete(first);
		assertEquals(drain(), List.of("s1", "l3", "l2"));
	}

	@Test
	public void servesWorkspacesByWeight() {
		this.queue = queue(new QueueLimits(3, 9, 2_000, List.of(new WorkspaceWeight("a", 2))));
		List<QueueTicket<String>> first = List.of(start("x", "x1"), start("x", "x2"), start("x", "x3"));
		for (int i = 1; i <= 3; i++) {
			offer("a", 0, "a" + i);
			offer("b", 0, "b" + i);
		}
		first.forEach(this.queue::complete);
		assertEquals(List.of(next().item(), next().item(), next().item()), List.of("a1", "b1", "a2"));
	}

	@Test
	public void leavesSlotsFreeForWorkspacesBelowTheirShare() {
		this.queue = queue(new QueueLimits(12, 12, 2_000, List.of()));
		start("small", "s1");
		for (int i = 1; i <= 10; i++) {
			start("large", "l" + i);
		}
		assertTrue(offer("large", 0, "l11") instanceof QueueDecision.Wait);
		assertTrue(offer("small", 0, "s2") instanceof QueueDecision.Start);
	}

	@Test
	public void shedsTheLeastUrgentThenTheNewestOfTheLongestLine() {
		start("large", "l1");
		offer("large", 1, "l2");
		offer("large", 1, "l3");
		offer("small", 1, "s1");
		offer("small", 7, "s2");
		QueueDecision.Wait<String> urgent = (QueueDecision.Wait<String>) offer("large", 1, "l4");
		assertEquals(item(urgent.shed()), "s2");
		assertTrue(offer("large", 1, "l5") instanceof QueueDecision.Refuse);
		assertEquals(item(((QueueDecision.Wait<String>) offer("small", 1, "s3")).shed()), "l4");
	}

	@Test
	public void refusesAtOnceWhenTheExpectedWaitIsTooLong() {
		QueueTicket<String> running = start("large", "l0");
		for (int i = 1; i <= 5; i++) {
			offer("large", 0, "l" + i);
			this.control.advance(Duration.ofMillis(900));
			this.queue.complete(running);
			running = next();
		}
		assertTrue(offer("large", 0, "fits") instanceof QueueDecision.Wait);
		assertTrue(offer("large", 0, "fits too") instanceof QueueDecision.Wait);
		assertTrue(offer("large", 0, "too long") instanceof QueueDecision.Refuse);
		assertTrue(offer("small", 0, "goes first") instanceof QueueDecision.Wait);
		assertTrue(this.queue.nextRetryAfterMs() >= 900);
	}

	@Test
	public void givesAWorkspaceBelowItsShareASecondWaitBound() {
		start("large", "l1");
		assertEquals(((QueueDecision.Wait<String>) offer("large", 0, "l2")).ticket().deadlineMs(), 2_000);
		assertEquals(((QueueDecision.Wait<String>) offer("small", 0, "s1")).ticket().deadlineMs(), 4_000);
	}

	@Test
	public void startsNoWithdrawnOrder() {
		QueueTicket<String> running = start("large", "l1");
		QueueTicket<String> waiting = ((QueueDecision.Wait<String>) offer("large", 0, "l2")).ticket();
		assertTrue(this.queue.withdraw(waiting));
		assertFalse(this.queue.withdraw(waiting));
		this.queue.complete(running);
		assertNull(this.queue.startNext());
		assertEquals(this.queue.running() + this.queue.waiting(), 0);
	}

	private OrderQueue<String> queue(QueueLimits limits) {
		return new OrderQueue<>(this.control.clock(), limits, new SplittableRandom(1));
	}

	private QueueTicket<String> start(String workspace, String item) {
		return ((QueueDecision.Start<String>) offer(workspace, 0, item)).ticket();
	}

	private QueueDecision<String> offer(String workspace, int priority, String item) {
		return this.queue.offer(new SchedulingAttributes(workspace, priority, 60_000), item);
	}

	private QueueTicket<String> next() {
		QueueTicket<String> ticket = this.queue.startNext();
		if (ticket == null) {
			throw new AssertionError("nothing waits");
		}
		return ticket;
	}

	private List<String> drain() {
		List<String> items = new ArrayList<>();
		while (this.queue.waiting() > 0) {
			QueueTicket<String> ticket = next();
			items.add(ticket.item());
			this.queue.complete(ticket);
		}
		return items;
	}

	private static String item(@Nullable QueueTicket<String> ticket) {
		return (ticket != null) ? ticket.item() : "none";
	}

}
