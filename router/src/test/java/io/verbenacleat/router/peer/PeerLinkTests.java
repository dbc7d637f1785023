package io.verbenacleat.router.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.router.budget.TokenWish;
import io.verbenacleat.router.config.CallerLimits;
import io.verbenacleat.router.config.RequestKind;
import io.verbenacleat.router.config.Route;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.config.Service;
import io.verbenacleat.router.config.Workspace;
import io.verbenacleat.router.log.DecisionLog;
import io.verbenacleat.router.server.BackendServer;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

public class PeerLinkTests {

	private static final BackendServer SERVER = new BackendServer("i-1", 5, "s", "10.0.0.9", 80, "z", 8, false);

	@Test
	public void aRouterThatStartsWithoutTheStoreTakesTheStateOfAnother() {
		Fixture router = new Fixture();
		router.calls.snapshot = new FleetSnapshot(FleetSnapshot.Config.of(table(7)), List.of(SERVER), 100,
				List.of("10.0.0.4:1"));
		router.link.start(router.fleet);
		router.advance(Duration.ofMillis(250));
		assertEquals(router.calls.asked.size(), 0);
		router.advance(Duration.ofMillis(500));
		RoutingTable taken = router.fleet.table;
		assertTrue(taken != null && taken.version() == 7);
		assertEquals(router.fleet.servers, List.of(SERVER));
		assertTrue(router.link.peers().contains("10.0.0.4:1"));
	}

	@Test
	public void nobodyIsAskedWhileTheStoreAnswers() {
		Fixture router = new Fixture();
		router.fleet.ageMs = 1_700;
		router.link.start(router.fleet);
		router.advance(Duration.ofSeconds(5));
		assertEquals(router.calls.asked, List.of());
	}

	@Test
	public void anOlderListOfServersIsNotTaken() {
		Fixture router = new Fixture();
		router.fleet.ageMs = 3_000;
		router.calls.snapshot = new FleetSnapshot(null, List.of(SERVER), 4_000, List.of());
		router.link.start(router.fleet);
		router.advance(Duration.ofMillis(500));
		assertFalse(router.calls.asked.isEmpty());
		assertNull(router.fleet.servers);
	}

	// Found by RouterProcessTests: two routers without the store passed one list to and
	// fro.
	@Test
	public void aListOfNearlyTheSameAgeIsNotTaken() {
		Fixture router = new Fixture();
		router.fleet.ageMs = 3_000;
		router.calls.snapshot = new FleetSnapshot(null, List.of(SERVER), 2_500, List.of());
		router.link.start(router.fleet);
		router.advance(Duration.ofMillis(500));
		assertFalse(router.calls.asked.isEmpty());
		assertNull(router.fleet.servers);
	}

	@Test
	public void aSilentRouterIsLeftOutForSomeTime() {
		PeerBook book = new PeerBook("a:1", List.of("b:1", "c:1"), new Random(1));
		book.onFailure("b:1", 0);
		assertEquals(book.select(3, 1), List.of("c:1"));
		assertEquals(book.select(3, PeerBook.FIRST_SUSPENSION.toNanos()).size(), 2);
		for (int i = 0; i < 20; i++) {
			book.onFailure("b:1", 0);
		}
		assertEquals(book.select(3, PeerBook.MAX_SUSPENSION.toNanos() - 1).size(), 1);
		assertEquals(book.select(3, PeerBook.MAX_SUSPENSION.toNanos()).size(), 2);
		book.onAnswer("b:1");
		book.onFailure("b:1", 0);
		assertEquals(book.select(3, PeerBook.FIRST_SUSPENSION.toNanos()).size(), 2);
	}

	@Test
	public void requestsDoNotWaitForASilentRouter() {
		Fixture router = new Fixture();
		router.calls.silent = true;
		CompletableFuture<Void> done = router.link.borrow(Map.of("w", new TokenWish(10, 10, 1)), List.of(),
				(tokens) -> {
				});
		router.advance(Duration.ofMillis(100));
		assertFalse(done.isDone());
		router.advance(Duration.ofMillis(150));
		assertTrue(done.isDone());
	}

	@Test
	public void lateTokensAreTaken() {
		Fixture router = new Fixture();
		router.calls.silent = true;
		Map<String, Long> taken = new HashMap<>();
		router.link.borrow(Map.of("w", new TokenWish(10, 10, 1)), List.of(), taken::putAll);
		router.advance(Duration.ofMillis(400));
		router.calls.pending.get(0).complete(Map.of("w", 10L));
		router.control.runPending();
		assertEquals(taken, Map.of("w", 10L));
	}

	@Test
	public void tokensThatNobodyCanTakeStay() {
		Fixture router = new Fixture();
		router.calls.takes = false;
		for (int i = 0; i < 3; i++) {
			CompletableFuture<Boolean> taken = router.link.give(Map.of("w", 5L));
			router.control.runPending();
			assertEquals(taken.getNow(true), false);
		}
		assertEquals(router.calls.asked.size(), 2);
	}

	@Test
	public void aSnapshotKeepsAllFieldsOnItsWay() throws JsonFormatException {
		FleetSnapshot sent = new FleetSnapshot(FleetSnapshot.Config.of(table(7)), List.of(SERVER), 100, List.of("p:1"));
		FleetSnapshot received = Json.read(Json.write(sent), FleetSnapshot.class);
		assertEquals(received, sent);
		RoutingTable taken = Objects.requireNonNull(received.config()).toTable();
		Workspace payer = taken.findWorkspaceByKey("k");
		assertTrue(payer != null && payer.prepaidTokens() == 1_000);
		assertTrue(taken.findRoute("h", "/a/b").isPresent());
	}

	private static RoutingTable table(long version) {
		Route route = Route.builder("r", "h", "/a/")
			.target("s", 1)
			.kind(RequestKind.RESUMABLE_STREAM)
			.timing(5_000, 600)
			.maxAttempts(2)
			.affinity(true)
			.build();
		return new RoutingTable(version, List.of(route), List.of(new Service("s", 100, true, 4)),
				List.of(new Workspace("w", List.of("k"), 1, 1_000)), new CallerLimits(1, 2, 3, 4));
	}

	private static final class Fixture {

		private final ManualControlThread control = new ManualControlThread(Instant.ofEpochSecond(1_000));

		private final ScriptedCalls calls = new ScriptedCalls();

		private final Fleet fleet = new Fleet();

		private final PeerClient link = new PeerClient("10.0.0.1:1",
				new PeerBook("10.0.0.1:1", List.of("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"), new Random(1)),
				this.calls, this.control, new DecisionLog(() -> 0));

		void advance(Duration duration) {
			for (long ms = 0; ms < duration.toMillis(); ms += 50) {
				this.control.advance(Duration.ofMillis(50));
				this.control.runPending();
			}
		}

	}

	private static final class ScriptedCalls implements PeerCalls {

		private final List<String> asked = new ArrayList<>();

		private final List<CompletableFuture<Map<String, Long>>> pending = new ArrayList<>();

		private @Nullable FleetSnapshot snapshot;

		private boolean silent;

		private boolean takes = true;

		@Override
		public CompletableFuture<FleetSnapshot> fleet(String address, FleetSnapshot.Question question) {
			this.asked.add(address);
			FleetSnapshot answer = this.snapshot;
			return (answer != null) ? CompletableFuture.completedFuture(answer) : new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<Map<String, Long>> borrow(String address, BorrowQuestion question) {
			this.asked.add(address);
			CompletableFuture<Map<String, Long>> answer = new CompletableFuture<>();
			if (!this.silent) {
				answer.complete(Map.of());
			}
			this.pending.add(answer);
			return answer;
		}

		@Override
		public CompletableFuture<Boolean> give(String address, Map<String, Long> tokens) {
			this.asked.add(address);
			return CompletableFuture.completedFuture(this.takes);
		}

	}

	private static final class Fleet implements FleetView {

		private @Nullable RoutingTable table;

		private @Nullable List<BackendServer> servers;

		private long ageMs = Long.MAX_VALUE;

		@Override
		public @Nullable RoutingTable configuration() {
			return this.table;
		}

		@Override
		public Collection<BackendServer> servers() {
			return List.of();
		}

		@Override
		public long serversAgeMs() {
			return this.ageMs;
		}

		@Override
		public void applyConfiguration(RoutingTable taken) {
			this.table = taken;
		}

		@Override
		public void applyServers(Collection<BackendServer> taken, long takenAgeMs) {
			this.servers = List.copyOf(taken);
			this.ageMs = takenAgeMs;
		}

	}

}
