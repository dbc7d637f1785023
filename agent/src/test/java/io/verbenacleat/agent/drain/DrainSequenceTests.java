package io.verbenacleat.agent.drain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.platform.HostEntry;
import io.verbenacleat.core.platform.InMemoryTableStore;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a stop that aborts running orders, loses receipts that could still be
 * reported, or never completes.
 */
public class DrainSequenceTests implements DrainSequence.PendingWork {

	private ManualControlThread control = new ManualControlThread(Instant.EPOCH);

	private DrainState state = new DrainState();

	private int orders;

	private int receipts;

	private int streams;

	private long lastEndMs;

	@BeforeMethod
	public void reset() {
		this.control = new ManualControlThread(Instant.EPOCH);
		this.state = new DrainState();
		this.orders = 0;
		this.receipts = 0;
		this.streams = 0;
		this.lastEndMs = 0;
	}

	@Test
	public void waitsForOrdersWithoutTimeoutThenForReceipts() {
		this.orders = 1;
		this.receipts = 1;
		CompletableFuture<Boolean> done = new DrainSequence(this.control, this.state, this).begin();
		assertTrue(this.state.draining());
		this.control.advance(Duration.ofMinutes(30));
		assertFalse(done.isDone());
		this.orders = 0;
		this.lastEndMs = this.control.clock().millis();
		this.control.advance(Duration.ofSeconds(29));
		assertFalse(done.isDone());
		this.receipts = 0;
		this.control.advance(Duration.ofSeconds(1));
		assertEquals(done.join(), Boolean.TRUE);
	}

	@Test
	public void stopsWaitingForReceiptsAfterTheTimeout() {
		this.receipts = 1;
		CompletableFuture<Boolean> done = new DrainSequence(this.control, this.state, this).begin();
		this.control.advance(Duration.ofSeconds(29));
		assertFalse(done.isDone());
		this.control.advance(Duration.ofSeconds(2));
		assertEquals(done.join(), Boolean.FALSE);
	}

	@Test
	public void waitsForOpenStreams() {
		this.streams = 1;
		CompletableFuture<Boolean> done = new DrainSequence(this.control, this.state, this).begin();
		this.control.advance(Duration.ofSeconds(1));
		assertFalse(done.isDone());
		this.streams = 0;
		this.control.advance(Duration.ofSeconds(1));
		assertEquals(done.join(), Boolean.TRUE);
	}

	@Test
	public void drainsWhileTheHostIsLeaving() {
		List<HostEntry> hosts = new ArrayList<>();
		DrainWatch watch = new DrainWatch(this.control, new InMemoryTableStore(),
				() -> CompletableFuture.completedFuture(List.copyOf(hosts)), this.state, "server", "10.0.0.1");
		watch.start();
		this.control.runPending();
		assertFalse(this.state.draining());
		hosts.add(new HostEntry("10.0.0.1", "z", HostEntry.State.LEAVING));
		this.control.advance(Duration.ofSeconds(2));
		assertTrue(this.state.draining());
		watch.close();
	}

	@Override
	public int ordersInProgress() {
		return this.orders;
	}

	@Override
	public long lastOrderEndMs() {
		return this.lastEndMs;
	}

	@Override
	public int receiptsWaiting() {
		return this.receipts;
	}

	@Override
	public int openStreams() {
		return this.streams;
	}

}
