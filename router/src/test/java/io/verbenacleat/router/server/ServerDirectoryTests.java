package io.verbenacleat.router.server;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.router.log.DecisionLog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class ServerDirectoryTests {

	private ManualControlThread control = new ManualControlThread(Instant.EPOCH);

	private ServerDirectory directory = newDirectory();

	private ServerList list = ServerList.empty();

	private boolean registryResponds = true;

	private int rechecks;

	@BeforeMethod
	public void setUp() {
		this.control = new ManualControlThread(Instant.EPOCH);
		this.list = ServerList.empty();
		this.registryResponds = true;
		this.rechecks = 0;
		this.directory = newDirectory();
		this.directory.replaceAll(Map.of("a", server("a", false), "b", server("b", false)), false);
	}

	@Test
	public void aRemovedRegistrationIsDroppedAtOnceWithoutAnOutage() {
		this.directory.update("a", null, false);
		assertEquals(usable(), Set.of("b"));
	}

	@Test
	public void aDrainingServerIsListedButNotUsed() {
		this.directory.update("a", server("a", true), false);
		assertEquals(usable(), Set.of("b"));
		assertEquals(this.list.all().size(), 2);
	}

	// Guards against a warm-up that begins anew with each change of another server.
	@Test
	public void theNoticeOfAWarmUpAges() {
		this.directory.update("a", server("a", false).withWarmUp(new WarmUpNotice(5_000, 200)), false);
		this.control.advance(Duration.ofMillis(700));
		this.directory.update("b", server("b", false), false);
		assertTrue(this.list.all().contains(server("a", false).withWarmUp(new WarmUpNotice(5_000, 900))));
		assertTrue(this.directory.all().containsAll(this.list.all()));
		this.directory.update("a", server("a", false), false);
		assertTrue(this.list.all().contains(server("a", false)));
	}

	@Test
	public void registrationsThatLapsedInAnOutageAreKeptUntilTheyReturn() {
		this.directory.replaceAll(Map.of("b", server("b", false)), true);
		assertEquals(usable(), Set.of("a", "b"));
		this.directory.update("a", server("a", false), true);
		this.control.advance(ServerDirectory.LAPSE_GRACE.plusMillis(1));
		assertEquals(usable(), Set.of("a", "b"));
	}

	// Guards against a server that leaves and is used again because the store has lost
	// that
	// it leaves.
	@Test
	public void aDrainingServerStaysDrainingInAnOlderCopy() {
		this.directory.update("a", server("a", true), false);
		this.directory.restore(Map.of("a", server("a", false), "b", server("b", false)));
		assertEquals(usable(), Set.of("b"));
		this.directory.update("a", server("a", false), false);
		assertEquals(usable(), Set.of("b"));
	}

	// Guards against a server that has left and is used again, until it writes again.
	@Test
	public void aRemovedServerStaysRemovedInAnOlderCopyUntilItWrites() {
		this.directory.update("a", null, false);
		this.directory.restore(Map.of("a", server("a", false), "b", server("b", false)));
		assertEquals(usable(), Set.of("b"));
		this.directory.update("a", server("a", false), false);
		assertEquals(usable(), Set.of("a", "b"));
	}

	// Guards against servers that are lost because the copy is older than they are.
	@Test
	public void serversThatAnOlderCopyLacksAreKeptForAWhile() {
		this.directory.restore(Map.of("b", server("b", false)));
		assertEquals(usable(), Set.of("a", "b"));
		this.control.advance(ServerDirectory.LAPSE_GRACE.plusMillis(1));
		assertEquals(usable(), Set.of("b"));
	}

	@Test
	public void registrationsThatDoNotReturnAfterAnOutageAreDropped() {
		this.directory.replaceAll(Map.of("b", server("b", false)), true);
		this.control.advance(ServerDirectory.LAPSE_GRACE.plusMillis(1));
		assertEquals(usable(), Set.of("b"));
	}

	@Test
	public void aFullReadAfterAGapInTheHistoryDropsAtOnce() {
		this.directory.replaceAll(Map.of("b", server("b", false)), false);
		assertEquals(usable(), Set.of("b"));
	}

	@Test
	public void aLaterLapseDoesNotExtendAnEarlierGracePeriod() {
		this.directory.update("a", null, true);
		this.control.advance(Duration.ofMillis(1_500));
		this.directory.update("b", null, true);
		this.control.advance(Duration.ofMillis(501));
		assertEquals(usable(), Set.of("b"));
	}

	@Test
	public void aRemovalRightAfterAnOutageStartsAGracePeriod() {
		this.directory.update("a", null, true);
		assertEquals(usable(), Set.of("a", "b"));
		this.control.advance(ServerDirectory.LAPSE_GRACE.plusMillis(1));
		assertEquals(usable(), Set.of("b"));
	}

	// Guards against servers that are alive and dropped because their return is not known
	// yet.
	@Test
	public void aGracePeriodEndsWithTheNextResponseOfTheRegistry() {
		this.registryResponds = false;
		this.directory.update("a", null, true);
		this.directory.update("b", null, true);
		this.control.advance(ServerDirectory.LAPSE_GRACE.plusSeconds(1));
		assertEquals(usable(), Set.of("a", "b"));
		assertEquals(this.rechecks, 2);
		this.directory.update("a", server("a", false), false);
		this.directory.confirm();
		assertEquals(usable(), Set.of("a"));
	}

	// Guards against servers that are gone and stay in use at a router that the registry
	// turns away.
	@Test
	public void aListOfAnotherRouterEndsAGracePeriodThatIsOver() {
		this.registryResponds = false;
		this.directory.update("a", null, true);
		this.directory.replaceAll(Map.of("b", server("b", false)), false);
		assertEquals(usable(), Set.of("a", "b"));
		this.control.advance(ServerDirectory.LAPSE_GRACE.plusMillis(1));
		assertEquals(usable(), Set.of("a", "b"));
		this.directory.replaceAll(Map.of("b", server("b", false)), false);
		assertEquals(usable(), Set.of("b"));
	}

	// Guards against servers that cannot register during an outage and are dropped in it.
	@Test
	public void anotherOutageStartsGracePeriodsAnew() {
		this.directory.update("a", null, true);
		this.control.advance(Duration.ofMillis(1_500));
		this.directory.onOutageEnded();
		this.control.advance(Duration.ofMillis(1_500));
		assertEquals(usable(), Set.of("a", "b"));
		this.control.advance(Duration.ofMillis(501));
		assertEquals(usable(), Set.of("b"));
	}

	private ServerDirectory newDirectory() {
		return new ServerDirectory(this.control, new DecisionLog(() -> 0), (newList) -> this.list = newList, () -> {
			this.rechecks++;
			if (this.registryResponds) {
				this.directory.confirm();
			}
		}, Duration.ofMillis(1_200));
	}

	private Set<String> usable() {
		return this.list.usable("s").stream().map(BackendServer::id).collect(Collectors.toSet());
	}

	private static BackendServer server(String id, boolean draining) {
		return new BackendServer(id, 1, "s", "127.0.0.1", 1, "z", 8, "v1", draining);
	}

}
