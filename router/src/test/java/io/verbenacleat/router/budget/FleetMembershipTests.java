package io.verbenacleat.router.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.router.balance.FleetPosition;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class FleetMembershipTests {

	private static final String OWN_KEY = "ledger/router/b";

	private static final String OWN_INCARNATION = "b/2";

	private static final long WRITTEN_AT_MS = 5_000;

	private final List<Row> rows = new ArrayList<>();

	private long version;

	// Guards against a new router that uses a share while others still count without it.
	@Test
	public void aNewRouterHasNoPositionUntilAllOthersHaveReadItsRow() {
		FleetMembership membership = membership();
		assertEquals(read(membership, 0, "a"), FleetPosition.unknown());
		assertEquals(read(membership, 1, "a", "b", "c"), FleetPosition.unknown());
		assertTrue(membership.isJoining(nanos(9)));
		assertEquals(read(membership, 9, "a", "b", "c"), FleetPosition.unknown());
		assertFalse(membership.isJoining(nanos(10)));
		assertEquals(read(membership, 10, "a", "b", "c"), new FleetPosition(1, 3));
	}

	@Test
	public void aRestartedRouterTakesThePositionOfItsPredecessor() {
		FleetMembership membership = membership();
		this.rows.clear();
		add("a", "a/1");
		add("b", "b/1");
		assertEquals(membership.onRead(this.rows, WRITTEN_AT_MS + 16_000, 0), new FleetPosition(1, 2));
	}

	@Test
	public void aRouterThatWasDownForLongIsNew() {
		this.rows.clear();
		add("a", "a/1");
		add("b", "b/1");
		assertEquals(membership().onRead(this.rows, WRITTEN_AT_MS + 16_001, 0), FleetPosition.unknown());
		assertEquals(membership().onRead(this.rows, -1, 0), FleetPosition.unknown());
	}

	// The first reads failed, so the row was already written by this process.
	@Test
	public void aRouterThatReadsOnlyItsOwnRowIsNew() {
		assertEquals(read(membership(), 0, "a", "b"), FleetPosition.unknown());
	}

	@Test
	public void aLostRouterKeepsItsPositionForSomeReads() {
		FleetMembership membership = membership();
		read(membership, 0, "a", "b");
		Row lost = this.rows.get(0);
		FleetPosition position = FleetPosition.unknown();
		for (int i = 1; i <= FleetMembership.READS_TO_EXPIRE; i++) {
			assertEquals(position, (i <= 2) ? FleetPosition.unknown() : new FleetPosition(1, 2));
			this.rows.clear();
			this.rows.add(lost);
			add("b", OWN_INCARNATION);
			position = membership.onRead(this.rows, WRITTEN_AT_MS, nanos(8 * i));
		}
		assertEquals(position, new FleetPosition(0, 1));
		assertEquals(read(membership, 50, "a", "b"), new FleetPosition(1, 2));
	}

	// Guards against two routers in one position while rows are missing that the store
	// has
	// lost.
	@Test
	public void aRouterWhoseRowIsLostIsCountedForSomeReads() {
		FleetMembership membership = membership();
		read(membership, 0, "a", "b", "c");
		assertEquals(read(membership, 20, "a", "b", "c"), new FleetPosition(1, 3));
		for (int i = 1; i < FleetMembership.READS_TO_EXPIRE; i++) {
			assertEquals(read(membership, 20 + 8 * i, "b", "c"), new FleetPosition(1, 3));
		}
		assertEquals(read(membership, 60, "b", "c"), new FleetPosition(0, 2));
	}

	@Test
	public void aRouterWithoutARowHasNoPosition() {
		FleetMembership membership = membership();
		read(membership, 0, "a", "b");
		assertEquals(read(membership, 20, "a", "b"), new FleetPosition(1, 2));
		assertEquals(read(membership, 28, "a"), FleetPosition.unknown());
	}

	@Test
	public void anUnreadableOwnRowIsThatOfANewRouter() {
		this.rows.clear();
		this.rows.add(new Row(OWN_KEY, 1, "{"));
		assertEquals(membership().onRead(this.rows, WRITTEN_AT_MS, 0), FleetPosition.unknown());
	}

	private static FleetMembership membership() {
		return new FleetMembership(OWN_KEY, OWN_INCARNATION);
	}

	private FleetPosition read(FleetMembership membership, long timeS, String... names) {
		this.rows.clear();
		for (String name : names) {
			add(name, name.equals("b") ? OWN_INCARNATION : name);
		}
		return membership.onRead(this.rows, WRITTEN_AT_MS, nanos(timeS));
	}

	private void add(String name, String incarnation) {
		RouterRow row = new RouterRow(incarnation, "", 1, WRITTEN_AT_MS, Map.of(), 0, 1);
		this.rows.add(new Row("ledger/router/" + name, ++this.version, Json.write(row)));
	}

	private static long nanos(long timeS) {
		return Duration.ofSeconds(timeS).toNanos();
	}

}
