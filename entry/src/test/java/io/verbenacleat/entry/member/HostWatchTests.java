package io.verbenacleat.entry.member;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.platform.HostEntry;
import io.verbenacleat.core.platform.PlatformUnavailableException;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against hosts that count as removed only because the host list lags or does not
 * respond.
 */
@SuppressWarnings("NullAway.Init")
public class HostWatchTests {

	private static final HostEntry HOST = new HostEntry("10.0.0.1", "z1", HostEntry.State.LIVE);

	private ManualControlThread control;

	private @Nullable List<HostEntry> listed;

	private HostWatch watch;

	@BeforeMethod
	public void start() {
		this.control = new ManualControlThread(Instant.EPOCH);
		this.listed = List.of(HOST);
		this.watch = new HostWatch(
				() -> (this.listed != null) ? CompletableFuture.completedFuture(this.listed)
						: CompletableFuture.failedFuture(new PlatformUnavailableException("no response", null)),
				this.control);
		this.control.advance(Duration.ofSeconds(10));
	}

	@Test
	public void aHostThatWasNeverListedIsNotRemoved() {
		this.control.advance(Duration.ofMinutes(5));
		assertFalse(this.watch.isRemoved("10.0.0.2"));
	}

	@Test
	public void aHostIsRemovedAfterAMinuteOffTheList() {
		this.listed = List.of();
		this.control.advance(Duration.ofSeconds(50));
		assertFalse(this.watch.isRemoved(HOST.host()));
		this.control.advance(Duration.ofSeconds(10));
		assertTrue(this.watch.isRemoved(HOST.host()));
		this.listed = List.of(HOST);
		this.control.advance(Duration.ofSeconds(10));
		assertFalse(this.watch.isRemoved(HOST.host()));
	}

	@Test
	public void anOutageOfTheListRemovesNoHost() {
		this.listed = null;
		this.control.advance(Duration.ofHours(1));
		assertFalse(this.watch.isRemoved(HOST.host()));
	}

	@Test
	public void aClockStepRemovesNoHost() {
		this.listed = List.of();
		this.control.stepClock(Duration.ofHours(1));
		this.control.advance(Duration.ofSeconds(10));
		assertFalse(this.watch.isRemoved(HOST.host()));
	}

}
