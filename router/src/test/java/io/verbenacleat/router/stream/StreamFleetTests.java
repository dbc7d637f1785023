package io.verbenacleat.router.stream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that no stream goes on at another software version, whatever happens to routers
 * and the store, and that streams go on where they may.
 */
public class StreamFleetTests {

	/** The users ask for half. */
	private static final double MIN_RESUMED_RATIO = 0.95;

	private static final Duration DARK_TIME = Duration.ofMillis(1_000);

	private static final double STREAMS_PER_S = 40;

	/** Longer than a stream takes to begin, break off and be taken up. */
	private static final Duration SLOW_WRITE = Duration.ofMillis(1_500);

	@DataProvider
	public Object[][] fleetSizes() {
		return new Object[][] { { 1 }, { 4 }, { 33 }, { 240 } };
	}

	@DataProvider
	public Object[][] histories() {
		return new Random(20261205).longs(60, 1, 1_000_001)
			.mapToObj((seed) -> new Object[] { seed })
			.toArray(Object[][]::new);
	}

	// Guards against writes on the days without a release, and against refusals because
	// nothing was written.
	@Test(dataProvider = "fleetSizes")
	public void withOneVersionStreamsGoOnWithoutRecords(int routers) {
		StreamFleet fleet = new StreamFleet(routers, 8, 1);
		fleet.run(Duration.ofSeconds(5), STREAMS_PER_S);
		fleet.losePower(DARK_TIME);
		fleet.run(Duration.ofSeconds(10), STREAMS_PER_S);
		assertResumed(fleet);
		assertEquals(fleet.storedStreams(), 0);
	}

	// Guards against routers that forget with their power which version began a stream.
	@Test(dataProvider = "fleetSizes")
	public void besideAnotherVersionStreamsGoOnAfterPowerWasLost(int routers) {
		StreamFleet fleet = new StreamFleet(routers, 8, 2);
		fleet.run(Duration.ofSeconds(5), STREAMS_PER_S);
		fleet.release(0.5);
		fleet.run(Duration.ofSeconds(5), STREAMS_PER_S);
		for (int i = 0; i < 5; i++) {
			fleet.losePower(DARK_TIME);
			// Streams of before are resumed while the new routers become calm.
			fleet.run(Duration.ofSeconds(8), STREAMS_PER_S);
		}
		assertResumed(fleet);
		assertTrue(fleet.storedStreams() > 0);
	}

	// Guards against streams of a version that had just left.
	@Test(dataProvider = "fleetSizes")
	public void streamsOfAVersionThatHasLeftAreNotJoined(int routers) {
		for (int darkMs : new int[] { 100, 1_000, 5_000 }) {
			StreamFleet fleet = new StreamFleet(routers, 8, 3);
			fleet.run(Duration.ofSeconds(5), STREAMS_PER_S);
			fleet.release(1);
			fleet.run(Duration.ofMillis(250), STREAMS_PER_S);
			fleet.losePower(Duration.ofMillis(darkMs));
			fleet.run(Duration.ofSeconds(10), STREAMS_PER_S);
			assertResumed(fleet);
		}
	}

	// Guards against a history of versions that went back with the store.
	@Test(dataProvider = "fleetSizes")
	public void streamsAreNotJoinedWhenTheStoreComesBackFromAnOlderCopy(int routers) {
		StreamFleet fleet = new StreamFleet(routers, 8, 4);
		fleet.run(Duration.ofSeconds(10), STREAMS_PER_S);
		fleet.release(0.5);
		fleet.run(Duration.ofSeconds(2), STREAMS_PER_S);
		fleet.losePower(DARK_TIME);
		fleet.restoreStore(Duration.ofSeconds(5));
		fleet.run(Duration.ofSeconds(10), STREAMS_PER_S);
		assertEquals(fleet.joined, 0);
	}

	// Guards against a version that the older copy does not name, and that has left.
	@Test(dataProvider = "fleetSizes")
	public void streamsOfAVersionThatTheCopyLacksAreNotJoined(int routers) {
		StreamFleet fleet = new StreamFleet(routers, 8, 11);
		fleet.run(Duration.ofSeconds(10), STREAMS_PER_S);
		List<StreamFleet.Server> rolledBack = fleet.startNextVersion(8);
		fleet.run(Duration.ofSeconds(3), STREAMS_PER_S);
		fleet.remove(rolledBack);
		fleet.run(Duration.ofMillis(500), STREAMS_PER_S);
		fleet.losePower(DARK_TIME);
		fleet.restoreStore(Duration.ofSeconds(5));
		fleet.run(Duration.ofSeconds(10), STREAMS_PER_S);
		assertEquals(fleet.joined, 0);
	}

	// Guards against streams of a version that came and went while no router could tell
	// the others.
	@Test
	public void aVersionThatTheStoreNeverNamedBeginsNoStreams() {
		StreamFleet fleet = new StreamFleet(4, 8, 6);
		fleet.breakRatio = 0.5;
		fleet.run(Duration.ofSeconds(2), STREAMS_PER_S);
		fleet.setStoreAvailable(false);
		List<StreamFleet.Server> rolledBack = fleet.startNextVersion(8);
		fleet.run(Duration.ofSeconds(3), STREAMS_PER_S);
		fleet.remove(rolledBack);
		fleet.run(Duration.ofSeconds(1), STREAMS_PER_S);
		fleet.setStoreAvailable(true);
		fleet.run(Duration.ofSeconds(10), STREAMS_PER_S);
		assertEquals(fleet.joined, 0);
	}

	// Guards against routers that start while the store is away, know no history, and
	// begin streams at a version that the row does not name: a router that reads the row
	// right after the store's return takes the only version in it for theirs.
	@Test
	public void streamsBegunWithoutAHistoryAreNotJoined() {
		for (long seed = 1; seed <= 20; seed++) {
			StreamFleet fleet = new StreamFleet(8, 8, seed);
			fleet.breakRatio = 0.5;
			fleet.run(Duration.ofSeconds(2), STREAMS_PER_S);
			fleet.setStoreAvailable(false);
			fleet.losePower(Duration.ofMillis(500));
			fleet.run(Duration.ofSeconds(1), STREAMS_PER_S);
			fleet.release(0.5);
			fleet.run(Duration.ofSeconds(2), STREAMS_PER_S);
			fleet.setStoreAvailable(true);
			fleet.run(Duration.ofSeconds(2), STREAMS_PER_S);
			assertEquals(fleet.joined, 0, "seed " + seed);
		}
	}

	// Guards against the same with a version that has left before the store's return.
	@Test
	public void streamsOfAVersionThatCameAndWentWithoutTheStoreAreNotJoined() {
		for (long seed = 1; seed <= 20; seed++) {
			StreamFleet fleet = new StreamFleet(8, 8, seed);
			fleet.breakRatio = 0.5;
			fleet.run(Duration.ofSeconds(2), STREAMS_PER_S);
			fleet.setStoreAvailable(false);
			fleet.losePower(Duration.ofMillis(500));
			fleet.run(Duration.ofSeconds(1), STREAMS_PER_S);
			List<StreamFleet.Server> rolledBack = fleet.startNextVersion(8);
			fleet.run(Duration.ofSeconds(2), STREAMS_PER_S);
			fleet.remove(rolledBack);
			fleet.run(Duration.ofMillis(500), STREAMS_PER_S);
			fleet.setStoreAvailable(true);
			fleet.run(Duration.ofSeconds(3), STREAMS_PER_S);
			assertEquals(fleet.joined, 0, "seed " + seed);
		}
	}

	// Guards against a caller that gives two requests the same id.
	@Test
	public void aStreamWhoseIdBeganTwoStreamsIsNotResumedElsewhere() {
		StreamFleet fleet = new StreamFleet(3, 8, 7);
		fleet.release(0.5);
		fleet.run(Duration.ofSeconds(1), 0);
		StreamOrigin first = new StreamOrigin("s", "v1", "w");
		StreamOrigin second = new StreamOrigin("s", "v2", "w");
		assertTrue(fleet.routers.get(0).origins().begin("same", first, 5_000));
		fleet.run(Duration.ofMillis(500), 0);
		assertTrue(fleet.routers.get(1).origins().begin("same", second, 5_000));
		fleet.run(Duration.ofMillis(500), 0);
		List<OriginLookup> found = new ArrayList<>();
		fleet.routers.get(2).origins().find("same", "s", "w", fleet.control, found::add);
		fleet.run(Duration.ofSeconds(1), 0);
		assertEquals(found, List.of(new OriginLookup("", OriginLookup.Source.UNKNOWN)));
	}

	// Guards against two routers that record the same stream and take each other's row
	// for
	// that of another one.
	@Test
	public void aStreamThatTwoRoutersKnowIsResumedAtAThird() {
		StreamFleet fleet = new StreamFleet(3, 8, 9);
		List<OriginLookup> found = new ArrayList<>();
		assertTrue(fleet.routers.get(0).origins().begin("a", new StreamOrigin("s", "v1", "w"), 5_000));
		fleet.routers.get(1).origins().find("a", "s", "w", fleet.control, found::add);
		fleet.run(Duration.ofMillis(100), 0);
		fleet.release(0.5);
		fleet.run(Duration.ofSeconds(1), 0);
		fleet.routers.get(2).origins().find("a", "s", "w", fleet.control, found::add);
		fleet.run(Duration.ofSeconds(1), 0);
		assertEquals(found, List.of(new OriginLookup("v1", OriginLookup.Source.ONLY_VERSION),
				new OriginLookup("v1", OriginLookup.Source.RECORD)));
	}

	@Test
	public void aStreamOfAnotherWorkspaceIsNotResumed() {
		StreamFleet fleet = new StreamFleet(2, 8, 8);
		fleet.release(0.5);
		fleet.run(Duration.ofSeconds(1), 0);
		assertTrue(fleet.routers.get(0).origins().begin("a", new StreamOrigin("s", "v1", "w"), 5_000));
		fleet.run(Duration.ofMillis(500), 0);
		List<OriginLookup> found = new ArrayList<>();
		fleet.routers.forEach((router) -> router.origins().find("a", "s", "other", fleet.control, found::add));
		fleet.run(Duration.ofSeconds(1), 0);
		assertEquals(found.size(), 2);
		found.forEach((lookup) -> assertEquals(lookup.source(), OriginLookup.Source.UNKNOWN));
	}

	// Guards against one malformed row that ends a router or lets a stream go on
	// anywhere.
	@Test
	public void malformedRowsCountAsLost() {
		for (String json : new String[] { "", "{", "[]", "{}", "{\"era\":1,\"serving\":[null],\"endedAtMs\":{}}",
				"{\"era\":1,\"serving\":[\"v1\"],\"endedAtMs\":{\"v0\":null}}", "{\"era\":\"x\"}",
				"{\"service\":\"s\",\"era\":1}" }) {
			StreamFleet fleet = new StreamFleet(2, 8, 10);
			fleet.write(VersionTracker.PREFIX + "s", json);
			fleet.write(OriginRecords.PREFIX + "a/0", json);
			fleet.losePower(DARK_TIME);
			fleet.run(Duration.ofSeconds(2), 0);
			List<OriginLookup> found = new ArrayList<>();
			fleet.routers.get(0).origins().find("a", "s", "w", fleet.control, found::add);
			fleet.run(Duration.ofSeconds(1), 0);
			assertEquals(found, List.of(new OriginLookup("", OriginLookup.Source.UNKNOWN)), json);
			fleet.run(Duration.ofSeconds(5), STREAMS_PER_S);
			assertResumed(fleet);
		}
	}

	@Test
	public void recordsAreRemovedWhenStreamsHaveEnded() {
		StreamFleet fleet = new StreamFleet(4, 8, 5);
		fleet.release(1);
		fleet.run(Duration.ofSeconds(10), STREAMS_PER_S);
		fleet.routers.get(0).end();
		assertTrue(fleet.storedStreams() > 0);
		fleet.run(Duration.ofMinutes(8), 1);
		assertEquals(fleet.storedStreams(), 0);
		fleet.resumable = 0;
		fleet.resumed = 0;
		fleet.breakRatio = 0.5;
		fleet.run(Duration.ofSeconds(20), STREAMS_PER_S);
		assertResumed(fleet);
	}

	@DataProvider
	public Object[][] outOfStep() {
		List<Object[]> cases = new ArrayList<>();
		for (int fromMs = -1_500; fromMs <= 1_500; fromMs += 100) {
			for (int forMs : new int[] { 400, 2_500, 5_000 }) {
				cases.add(new Object[] { fromMs, forMs });
			}
		}
		return cases.toArray(new Object[0][]);
	}

	// Guards against a router that does not know yet at which versions others begin
	// streams: cut off or standing still around the join of a new version and the leave
	// of the old one, with a store that is slow to write in every second play.
	@Test(dataProvider = "outOfStep")
	public void aRouterOutOfStepJoinsNoStreams(int fromMs, int forMs) {
		for (long seed = 1; seed <= 4; seed++) {
			for (boolean still : new boolean[] { false, true }) {
				StreamFleet fleet = new StreamFleet(3, 8, seed);
				fleet.breakRatio = 0.6;
				Duration usualDelay = fleet.writeDelay;
				if (seed % 2 == 0) {
					fleet.control.schedule(Duration.ofMillis(1_000), () -> fleet.writeDelay = SLOW_WRITE);
					fleet.control.schedule(Duration.ofMillis(6_000), () -> fleet.writeDelay = usualDelay);
				}
				fleet.run(Duration.ofSeconds(2), STREAMS_PER_S);
				StreamFleet.Router router = fleet.routers.get(0);
				fleet.control.schedule(Duration.ofMillis(1_500 + fromMs), () -> {
					if (still) {
						router.standStill(Duration.ofMillis(forMs));
						return;
					}
					router.reachStore(false);
					fleet.control.schedule(Duration.ofMillis(forMs), () -> router.reachStore(true));
				});
				fleet.control.schedule(Duration.ofMillis(1_500), () -> fleet.release(0.5));
				fleet.control.schedule(Duration.ofMillis(4_000), () -> fleet.release(1));
				fleet.run(Duration.ofSeconds(9), STREAMS_PER_S);
				assertEquals(fleet.joined, 0, "seed " + seed + (still ? ", still" : ", cut off"));
				fleet.run(Duration.ofSeconds(3), STREAMS_PER_S);
				fleet.resumable = 0;
				fleet.resumed = 0;
				fleet.run(Duration.ofSeconds(6), STREAMS_PER_S);
				assertResumed(fleet);
			}
		}
	}

	// Guards against changes that are safe by themselves but not together.
	@Test(dataProvider = "histories")
	public void noStreamIsJoinedUnderRandomChanges(long seed) {
		int routers = 1 + (int) (seed % 12);
		StreamFleet fleet = new StreamFleet(routers, 3 + (int) (seed % 7), seed);
		Random random = fleet.random;
		fleet.breakRatio = 0.05 + 0.5 * random.nextDouble();
		for (int i = 0; i < 25; i++) {
			StreamFleet.Router router = fleet.routers.get(random.nextInt(routers));
			switch (random.nextInt(9)) {
				case 0, 1 -> fleet.release(0.2 + 0.8 * random.nextDouble());
				case 2 -> fleet.losePower(Duration.ofMillis(100 + random.nextInt(3_000)));
				case 3 -> router.end();
				case 4 -> router.start();
				case 5 -> router.reachStore(false);
				case 6 -> router.reachStore(true);
				case 7 -> fleet.setStoreAvailable(random.nextBoolean());
				default -> fleet.restoreStore(Duration.ofMillis(500 + random.nextInt(8_000)));
			}
			fleet.run(Duration.ofMillis(100 + random.nextInt(2_500)), STREAMS_PER_S);
		}
		assertEquals(fleet.joined, 0);
		fleet.setStoreAvailable(true);
		fleet.routers.forEach((router) -> {
			router.start();
			router.reachStore(true);
		});
		fleet.run(Duration.ofSeconds(5), STREAMS_PER_S);
		fleet.resumable = 0;
		fleet.resumed = 0;
		fleet.run(Duration.ofSeconds(10), STREAMS_PER_S);
		assertResumed(fleet);
	}

	private static void assertResumed(StreamFleet fleet) {
		assertEquals(fleet.joined, 0);
		assertTrue(fleet.resumed >= MIN_RESUMED_RATIO * fleet.resumable,
				fleet.resumed + " of " + fleet.resumable + " resumed, " + fleet.begun + " begun");
	}

}
