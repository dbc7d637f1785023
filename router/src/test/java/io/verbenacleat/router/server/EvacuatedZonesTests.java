package io.verbenacleat.router.server;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.router.log.DecisionLog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

public class EvacuatedZonesTests {

	private static final String PEER = "10.0.0.2:1";

	private EvacuatedZones zones = unread();

	@BeforeMethod
	public void startRouter() {
		this.zones = unread();
	}

	// Guards against a zone that comes back, or stays out, because messages overtake each
	// other or arrive twice: each order has to lead to the newest state.
	@Test
	public void theOrderOfMessagesDoesNotMatter() {
		for (int seed = 1; seed <= 200; seed++) {
			Random random = new Random(seed);
			List<EvacuationState> history = history(random);
			EvacuationState newest = history.get(history.size() - 1);
			List<EvacuationState> messages = new ArrayList<>(history);
			messages.addAll(history.subList(0, history.size() / 2));
			Collections.shuffle(messages, random);
			EvacuatedZones shuffled = unread();
			boolean newestSeen = false;
			for (EvacuationState message : messages) {
				newestSeen |= message.equals(newest);
				shuffled.onPeerState(message, PEER);
				if (newestSeen) {
					assertEquals(shuffled.zones(), newest.evacuated().keySet(), "seed " + seed);
				}
			}
		}
	}

	// Guards against a peer that was cut off and sends what it knew before.
	@Test
	public void anOlderStateOfAPeerChangesNothing() {
		this.zones.onStoreRead(table(1, 100));
		this.zones.onStoreRead(table(1, 110, row("a", 1, 105)));
		assertFalse(this.zones.onPeerState(table(1, 104), PEER));
		assertEquals(this.zones.zones(), Set.of("a"));
		assertTrue(this.zones.onStoreRead(table(1, 120)));
		assertFalse(this.zones.onPeerState(table(1, 110, row("a", 1, 105)), PEER));
		assertEquals(this.zones.zones(), Set.of());
	}

	// Guards against a router that has just started and wipes out what others know.
	@Test
	public void aRouterThatHasReadNothingRemovesNoZone() {
		this.zones.onStoreRead(table(1, 110, row("a", 1, 105)));
		assertFalse(this.zones.onPeerState(EvacuationState.empty(), PEER));
		assertEquals(this.zones.zones(), Set.of("a"));
	}

	// Guards against a zone that is used again because the store came back from a copy
	// that lacks its row; versions are given out again then.
	@Test
	public void aRowThatIsOnlyLostWithTheCopyKeepsItsZoneOut() {
		this.zones.onStoreRead(table(1, 110, row("a", 1, 105), row("b", 1, 90)));
		assertTrue(this.zones.onStoreRead(table(2, 107, row("b", 2, 90))), "others may know lost rows");
		assertEquals(this.zones.zones(), Set.of("a", "b"));
		this.zones.onStoreRead(table(2, 300, row("b", 2, 90)));
		assertEquals(this.zones.zones(), Set.of("a", "b"));
		// The operator removes the row once more, or writes and removes it.
		this.zones.onStoreRead(table(2, 310, row("b", 2, 90), removed("a", 2, 309)));
		assertEquals(this.zones.zones(), Set.of("b"));
		this.zones.onPeerState(table(1, 110, row("a", 1, 105), row("b", 1, 90)), PEER);
		assertEquals(this.zones.zones(), Set.of("b"));
	}

	// Guards against a zone that was back before the copy was restored and is taken out
	// again by a router that had lost contact.
	@Test
	public void aZoneThatWasBackBeforeARestoreStaysInUse() {
		this.zones.onStoreRead(table(1, 120));
		this.zones.onStoreRead(table(2, 80));
		this.zones.onPeerState(table(1, 110, row("a", 1, 105)), PEER);
		assertEquals(this.zones.zones(), Set.of());
	}

	// Guards against messages of other versions of the program that hide an evacuation.
	@Test
	public void fieldsOfAMessageMayBeMissing() throws JsonFormatException {
		String text = """
				{"readTo":{"2":9,"3":null},"rows":[{"zone":"a","era":2,"version":8,"evacuated":true,"new":{}},
				{"era":2,"version":8,"evacuated":true},null,{"zone":"b"}],"later":1}""";
		EvacuationState read = Json.read(text, EvacuationState.class);
		assertEquals(read.evacuated().keySet(), Set.of("a"));
		assertEquals(read.readTo(), Map.of(2L, 9L));
		assertTrue(Json.read("{}", EvacuationState.class).unknown());
		assertEquals(Json.read(Json.write(read), EvacuationState.class), read);
		assertThrows(JsonFormatException.class, () -> Json.read("{\"rows\":7}", EvacuationState.class));
	}

	// A table that is written at random, as full reads at all versions.
	private static List<EvacuationState> history(Random random) {
		List<EvacuationState> history = new ArrayList<>();
		Map<String, EvacuationState.ZoneRow> rows = new TreeMap<>();
		for (long version = 1; version <= 30; version++) {
			String zone = "z" + random.nextInt(3);
			if (random.nextBoolean()) {
				rows.put(zone, row(zone, 1, version));
			}
			else {
				rows.remove(zone);
			}
			history.add(table(1, version, rows.values().toArray(new EvacuationState.ZoneRow[0])));
		}
		return history;
	}

	private static EvacuatedZones unread() {
		return new EvacuatedZones(new DecisionLog(() -> 0), (published) -> {
		});
	}

	private static EvacuationState table(long era, long version, EvacuationState.ZoneRow... rows) {
		return new EvacuationState(Map.of(era, version), List.of(rows));
	}

	private static EvacuationState.ZoneRow row(String zone, long era, long version) {
		return new EvacuationState.ZoneRow(zone, era, version, true);
	}

	private static EvacuationState.ZoneRow removed(String zone, long era, long version) {
		return new EvacuationState.ZoneRow(zone, era, version, false);
	}

}
