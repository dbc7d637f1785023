package io.verbenacleat.router.balance;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class RequestPermitsTests {

	private static final long START_MS = 1_000_000;

	private long fleetTimeMs;

	private PermitSchedule schedule = new PermitSchedule(() -> this.fleetTimeMs);

	@BeforeMethod
	public void setUp() {
		this.fleetTimeMs = START_MS;
		this.schedule = new PermitSchedule(() -> this.fleetTimeMs);
		this.schedule.setPosition(new FleetPosition(0, 1));
	}

	@Test
	public void permitsAreIssuedAtTheRateOfTheServer() {
		RequestPermits permits = new RequestPermits(5, "i-0", this.schedule);
		assertFalse(permits.isAvailable());
		assertEquals(takenIn(permits, 10_000), 50);
	}

	@Test
	public void routersOwnPermitsInTurn() {
		int[] taken = new int[3];
		List<RequestPermits> permits = new ArrayList<>();
		for (int rank = 0; rank < taken.length; rank++) {
			PermitSchedule routerSchedule = new PermitSchedule(() -> this.fleetTimeMs);
			routerSchedule.setPosition(new FleetPosition(rank, taken.length));
			permits.add(new RequestPermits(6, "i-0", routerSchedule));
		}
		for (int i = 0; i < 1_000; i++) {
			this.fleetTimeMs += 10;
			for (int rank = 0; rank < taken.length; rank++) {
				taken[rank] += permits.get(rank).tryTake() ? 1 : 0;
			}
		}
		assertEquals(taken, new int[] { 20, 20, 20 });
	}

	// Guards against routers that save permits while they have no requests and then use
	// all
	// of them at once.
	@Test
	public void unusedPermitsExpire() {
		RequestPermits permits = new RequestPermits(4, "i-0", this.schedule);
		this.fleetTimeMs += 3_600_000;
		int taken = 0;
		while (permits.tryTake()) {
			taken++;
		}
		assertEquals(taken, 6);
	}

	@Test
	public void nothingIsPermittedWhileThePositionOrTheClockIsUnknown() {
		this.schedule.setPosition(FleetPosition.unknown());
		RequestPermits permits = new RequestPermits(100, "i-0", this.schedule);
		this.fleetTimeMs += 1_000;
		assertFalse(permits.isAvailable());
		this.schedule.setPosition(new FleetPosition(0, 1));
		assertTrue(permits.isAvailable());
		this.fleetTimeMs = PermitSchedule.UNKNOWN_TIME_MS;
		assertFalse(permits.tryTake());
	}

	// A store that restarts may count its time from the start.
	@Test
	public void permitsContinueAfterTheClockStartsAnew() {
		RequestPermits permits = new RequestPermits(4, "i-0", this.schedule);
		this.fleetTimeMs = 5_000;
		assertFalse(permits.tryTake());
		assertEquals(takenIn(permits, 5_000), 20);
	}

	@Test
	public void aServerThatAcceptsNothingIsTriedRarely() {
		RequestPermits permits = new RequestPermits(0, "i-0", this.schedule);
		assertEquals(takenIn(permits, 40_000), 10);
	}

	@Test
	public void aVeryHighLimitPermitsRequests() {
		RequestPermits permits = new RequestPermits(999_999_999_999.0, "i-0", this.schedule);
		assertEquals(takenIn(permits, 1_000), 100);
	}

	private int takenIn(RequestPermits permits, long durationMs) {
		long endMs = this.fleetTimeMs + durationMs;
		int taken = 0;
		while (this.fleetTimeMs < endMs) {
			this.fleetTimeMs += 10;
			if (permits.isAvailable()) {
				assertTrue(permits.tryTake());
				taken++;
			}
		}
		return taken;
	}

}
