package io.verbenacleat.router.balance;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import io.verbenacleat.router.server.BackendServer;
import io.verbenacleat.router.server.ServerList;
import io.verbenacleat.router.server.WarmUpNotice;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Selection with servers that warm up.
 */
public class WarmUpSelectionTests {

	private static final Map<String, WarmUpLimit> LIMITS = Map.of("s", new WarmUpLimit(6_000, 12, 23));

	private static final int SLOTS = 40;

	private long nowMs;

	private PermitSchedule schedule = new PermitSchedule(() -> this.nowMs);

	private ServerStates states = newStates();

	@BeforeMethod
	public void setUp() {
		this.nowMs = 1_000;
		this.schedule = new PermitSchedule(() -> this.nowMs);
		this.schedule.setMembers(new FleetMembers("a", List.of("a")));
		this.states = newStates();
		this.states.setWarmUpLimits(LIMITS);
	}

	// Guards against a restarted router that holds back all servers.
	@Test
	public void serversOfTheFirstListAreWarmUnlessTheyStateOtherwise() {
		list(server("a", 1, null), server("b", 1, new WarmUpNotice(3_000, 500)));
		assertEquals(remainingMs("a", 1), 0);
		assertEquals(remainingMs("b", 1), 2_500);
	}

	@Test
	public void aNewIncarnationWarmsUpAndAKnownOneDoesNot() {
		list(server("a", 1, null), server("b", 1, null));
		list(server("a", 2, null));
		assertEquals(remainingMs("a", 2), 6_000);
		list(server("a", 2, null), server("b", 1, null), server("c", 1, new WarmUpNotice(0, 0)));
		assertEquals(remainingMs("b", 1), 0);
		assertEquals(remainingMs("c", 1), 0);
	}

	// Guards against a list that arrives before the configuration.
	@Test
	public void noticesApplyWhenTheConfigurationArrives() {
		this.states = newStates();
		list(server("a", 1, new WarmUpNotice(3_000, 0)));
		assertEquals(remainingMs("a", 1), 0);
		this.nowMs += 1_000;
		this.states.setWarmUpLimits(LIMITS);
		assertEquals(remainingMs("a", 1), 2_000);
	}

	// Guards against a change for services that are not configured for it.
	@Test
	public void withoutARateNoServerWarmsUp() {
		this.states.setWarmUpLimits(Map.of());
		list(server("a", 1, null));
		list(server("a", 2, new WarmUpNotice(5_000, 0)));
		assertTrue(this.states.state(server("a", 2, null)).hasPermit(this.nowMs));
		assertEquals(this.states.findWarmUpChanges(this.nowMs), List.of());
	}

	@Test
	public void anInvalidTimeChangesNothingAndIsReportedOnce() {
		list(server("a", 1, new WarmUpNotice(3_000, 0)));
		BackendServer wrong = server("a", 1, new WarmUpNotice(WarmUpNotice.INVALID_MS, 0));
		this.states.update(ServerList.of(List.of(wrong)));
		assertEquals(this.states.applyWarmUps(this.nowMs).size(), 1);
		assertEquals(this.states.applyWarmUps(this.nowMs).size(), 0);
		assertEquals(remainingMs("a", 1), 3_000);
	}

	// Guards against requests that wait at a slow server while a warm one is free, and
	// against a warm one that gets all requests of the others.
	@Test
	public void warmServersArePreferredWhileTheyHaveAFreeSlot() {
		list(server("a", 1, new WarmUpNotice(60_000, 0)), server("b", 1, null));
		this.states.findWarmUpChanges(this.nowMs);
		this.nowMs += 1_000;
		ServerState warm = this.states.state(server("b", 1, null));
		warm.onReport(SLOTS - 1);
		assertEquals(select(), "b");
		warm.onReport(SLOTS);
		assertEquals(select(), "a");
		while (this.states.state(server("a", 1, null)).takePermit(this.nowMs)) {
			assertTrue(this.states.state(server("a", 1, null)).isWarmingUp(this.nowMs));
		}
		assertEquals(select(), "b");
		assertEquals(this.states.takeHeldBackCount(), 1);
	}

	// Guards against a router that alone floods a server which has begun to warm up
	// without notice.
	@Test
	public void anotherServerIsPreferredToOneThatHadItsMaximum() {
		list(server("a", 1, null), server("b", 1, null));
		ServerState first = this.states.state(server("a", 1, null));
		for (int i = 0; i < 23; i++) {
			assertEquals(select(), "a");
			first.onSend(this.nowMs);
			first.onSuccess();
		}
		assertEquals(select(), "b");
		this.nowMs += 1_000;
		assertEquals(select(), "a");
	}

	// Guards against a service without the warm server that is over its maximum.
	@Test
	public void theOnlyWarmServerIsUsedWithoutALimit() {
		list(server("a", 1, null));
		for (int i = 0; i < 200; i++) {
			assertEquals(select(), "a");
			this.states.state(server("a", 1, null)).onSend(this.nowMs);
		}
	}

	@Test
	public void theDelayOfARefusalIsTheTimeToTheNextPermit() {
		list(server("a", 1, new WarmUpNotice(60_000, 0)));
		this.states.findWarmUpChanges(this.nowMs);
		assertEquals(select(), "");
		OptionalLong delayMs = this.states.warmUpDelayMs("s", Set.of(), this.nowMs);
		assertTrue(delayMs.getAsLong() > 0 && delayMs.getAsLong() <= 84, delayMs.toString());
		this.nowMs += delayMs.getAsLong();
		assertEquals(select(), "a");
		assertEquals(this.states.warmUpDelayMs("s", Set.of("a"), this.nowMs), OptionalLong.empty());
	}

	// Guards against a report from before the warm-up, which would hide the server.
	@Test
	public void serversThatWarmUpAreNotPolled() {
		list(server("a", 1, null));
		ServerState state = this.states.state(server("a", 1, null));
		state.onReport(30);
		assertTrue(state.acceptsPolls(this.nowMs));
		state.onWarmUpStated(5_000, this.nowMs);
		assertFalse(state.acceptsPolls(this.nowMs));
		assertEquals(state.load(), 0.0);
		assertTrue(state.acceptsPolls(this.nowMs + 5_000));
	}

	@Test
	public void theBeginAndTheEndAreFoundOnce() {
		list(server("a", 1, new WarmUpNotice(5_000, 0)));
		assertEquals(this.states.findWarmUpChanges(this.nowMs).size(), 1);
		assertEquals(this.states.findWarmUpChanges(this.nowMs + 4_999).size(), 0);
		assertEquals(this.states.warmingUp().size(), 1);
		assertEquals(this.states.findWarmUpChanges(this.nowMs + 5_000).size(), 1);
		assertEquals(this.states.findWarmUpChanges(this.nowMs + 5_100).size(), 0);
	}

	private ServerStates newStates() {
		return new ServerStates("z", (candidates, key) -> candidates.get(0), (candidates, key) -> candidates.get(0),
				this.schedule);
	}

	private void list(BackendServer... servers) {
		this.states.update(ServerList.of(List.of(servers)));
		assertEquals(this.states.applyWarmUps(this.nowMs), List.of());
	}

	private String select() {
		return this.states.select("s", false, 0, Set.of(), this.nowMs).map((state) -> state.server().id()).orElse("");
	}

	private long remainingMs(String id, long startedAtMs) {
		return this.states.state(server(id, startedAtMs, null)).warmUpRemainingMs(this.nowMs);
	}

	private static BackendServer server(String id, long startedAtMs, @Nullable WarmUpNotice notice) {
		return new BackendServer(id, startedAtMs, "s", "127.0.0.1", 1, "z", SLOTS, "v1", false, notice);
	}

}
