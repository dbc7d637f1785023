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
import io.verbenacleat.router.budget.LoanRequest;
import io.verbenacleat.router.config.CallerLimits;
import io.verbenacleat.router.config.RequestKind;
import io.verbenacleat.router.config.Route;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.config.Service;
import io.verbenacleat.router.config.Workspace;
import io.verbenacleat.router.log.DecisionLog;
import io.verbenacleat.router.quarantine.CrashReport;
import io.verbenacleat.router.server.BackendServer;
import io.verbenacleat.router.server.EvacuationState;
import io.verbenacleat.router.server.WarmUpNotice;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

public class PeerClientTests {

	private static final BackendServer SERVER = new BackendServer("i-1", 5, "s", "10.0.0.9", 80, "z", 8, "v1", false);

	private static final CrashReport CRASH = new CrashReport("p1", "i-1@1", 10, false, false);

	private static final EvacuationState EVACUATION = new EvacuationState(Map.of(2L, 9L),
			List.of(new EvacuationState.ZoneRow("a", 2, 8, true)));

	@Test
	public void aRouterThatStartsWithoutTheStoreUsesTheSnapshotOfAnother() {
		Fixture router = new Fixture();
		router.calls.snapshot = new FleetSnapshot(FleetSnapshot.Config.of(table(7)), List.of(SERVER), 100,
				List.of("10.0.0.4:1"), List.of(CRASH), null);
		router.link.start(router.fleet);
		router.advance(Duration.ofMillis(250));
		assertEquals(router.calls.calledAddresses.size(), 0);
		router.advance(Duration.ofMillis(500));
		RoutingTable applied = router.fleet.table;
		assertTrue(applied != null && applied.version() == 7);
		assertEquals(router.fleet.servers, List.of(SERVER));
		assertEquals(router.fleet.crashReports, List.of(CRASH));
		assertTrue(router.link.fleetAddresses().contains("10.0.0.4:1"));
	}

	// Guards against routers of two software versions that cannot read each other's
	// snapshots.
	@Test
	public void snapshotsOfOlderRoutersSayNothingOfWarmUps() throws JsonFormatException {
		Service service = new Service("s", 100, true, 4, new Service.WarmUp(6_000, 12));
		RoutingTable table = new RoutingTable(7, List.of(), List.of(service), List.of(),
				new CallerLimits(1_000, 1_000, 1_000, 1_000));
		FleetSnapshot snapshot = new FleetSnapshot(FleetSnapshot.Config.of(table),
				List.of(SERVER.withWarmUp(new WarmUpNotice(5_000, 300))), 100, List.of(), null, EVACUATION);
		String json = Json.write(snapshot);
		assertEquals(Json.read(json, FleetSnapshot.class), snapshot);
		String older = json.replace(",\"warmUp\":{\"leftMs\":5000,\"ageMs\":300}", "")
			.replace(",\"warmUp\":{\"startMs\":6000,\"requestsPerS\":12.0}", "");
		assertFalse(older.contains("warmUp"), older);
		FleetSnapshot read = Json.read(older, FleetSnapshot.class);
		assertEquals(read.servers(), List.of(SERVER));
		assertTrue(read.config() != null && read.config().services().equals(List.of(new Service("s", 100, true, 4))));
	}

	@Test
	public void noRouterIsQueriedWhileTheStoreResponds() {
		Fixture router = new Fixture();
		router.fleet.ageMs = 1_700;
		router.link.start(router.fleet);
		router.advance(Duration.ofSeconds(5));
		assertEquals(router.calls.calledAddresses, List.of());
	}

	// Guards against a router that follows the list of servers, while its other
	// connection
	// to the store is cut, and so misses an evacuation.
	@Test
	public void evacuatedZonesAreAskedForWhileTheStoreIsSilentAboutThem() {
		Fixture router = new Fixture();
		router.fleet.ageMs = 0;
		router.fleet.evacuationsAgeMs = 2_300;
		router.calls.snapshot = new FleetSnapshot(null, null, 0, List.of(), null, EVACUATION);
		router.link.start(router.fleet);
		router.advance(Duration.ofMillis(250));
		assertEquals(router.fleet.evacuations, EVACUATION);
	}

	// Guards against snapshots of older routers, which lack the field and must not wipe
	// out what is known.
	@Test
	public void aSnapshotWithoutEvacuatedZonesChangesNone() throws JsonFormatException {
		Fixture router = new Fixture();
		router.fleet.evacuations = EVACUATION;
		router.calls.snapshot = Json.read("{\"serversAgeMs\":0,\"peers\":[]}", FleetSnapshot.class);
		router.link.start(router.fleet);
		router.advance(Duration.ofMillis(750));
		assertFalse(router.calls.calledAddresses.isEmpty());
		assertEquals(router.fleet.evacuations, EVACUATION);
		FleetSnapshot.Request older = Json.read(
				"{\"configVersion\":1,\"serversAgeMs\":1,\"peerAddress\":\"10.0.0.2:1\"}", FleetSnapshot.Request.class);
		assertEquals(PeerRequestHandler.respond(router.fleet, router.link, older).evacuations(), EVACUATION);
		assertEquals(router.fleet.evacuations, EVACUATION);
	}

	@Test
	public void anOlderServerListIsIgnored() {
		Fixture router = new Fixture();
		router.fleet.ageMs = 3_000;
		router.calls.snapshot = new FleetSnapshot(null, List.of(SERVER), 4_000, List.of(), null, null);
		router.link.start(router.fleet);
		router.advance(Duration.ofMillis(500));
		assertFalse(router.calls.calledAddresses.isEmpty());
		assertNull(router.fleet.servers);
	}

	// Guards against two routers that pass one list back and forth while the store is
	// unreachable, as seen in RouterProcessTests.
	@Test
	public void aServerListOfSimilarAgeIsIgnored() {
		Fixture router = new Fixture();
		router.fleet.ageMs = 3_000;
		router.calls.snapshot = new FleetSnapshot(null, List.of(SERVER), 2_500, List.of(), null, null);
		router.link.start(router.fleet);
		router.advance(Duration.ofMillis(500));
		assertFalse(router.calls.calledAddresses.isEmpty());
		assertNull(router.fleet.servers);
	}

	@Test
	public void anUnresponsiveRouterIsSuspended() {
		PeerDirectory directory = new PeerDirectory("a:1", List.of("b:1", "c:1"), new Random(1));
		directory.onFailure("b:1", 0);
		assertEquals(directory.select(3, 1), List.of("c:1"));
		assertEquals(directory.select(3, PeerDirectory.FIRST_SUSPENSION.toNanos()).size(), 2);
		for (int i = 0; i < 20; i++) {
			directory.onFailure("b:1", 0);
		}
		assertEquals(directory.select(3, PeerDirectory.MAX_SUSPENSION.toNanos() - 1).size(), 1);
		assertEquals(directory.select(3, PeerDirectory.MAX_SUSPENSION.toNanos()).size(), 2);
		directory.onSuccess("b:1");
		directory.onFailure("b:1", 0);
		assertEquals(directory.select(3, PeerDirectory.FIRST_SUSPENSION.toNanos()).size(), 2);
	}

	@Test
	public void borrowingTimesOutWhenRoutersDoNotRespond() {
		Fixture router = new Fixture();
		router.calls.unresponsive = true;
		CompletableFuture<Void> done = router.link.borrow(Map.of("w", new LoanRequest(10, 10, 1)), List.of(),
				(tokens) -> {
				});
		router.advance(Duration.ofMillis(100));
		assertFalse(done.isDone());
		router.advance(Duration.ofMillis(150));
		assertTrue(done.isDone());
	}

	@Test
	public void tokensThatArriveLateAreReceived() {
		Fixture router = new Fixture();
		router.calls.unresponsive = true;
		Map<String, Long> receivedTokens = new HashMap<>();
		router.link.borrow(Map.of("w", new LoanRequest(10, 10, 1)), List.of(), receivedTokens::putAll);
		router.advance(Duration.ofMillis(400));
		router.calls.pendingLoans.get(0).complete(Map.of("w", 10L));
		router.control.runPending();
		assertEquals(receivedTokens, Map.of("w", 10L));
	}

	@Test
	public void aTransferFailsWhenNoRouterAcceptsIt() {
		Fixture router = new Fixture();
		router.calls.acceptsTransfers = false;
		for (int i = 0; i < 3; i++) {
			CompletableFuture<Boolean> accepted = router.link.transfer(Map.of("w", 5L));
			router.control.runPending();
			assertEquals(accepted.getNow(true), false);
		}
		assertEquals(router.calls.calledAddresses.size(), 2);
	}

	@Test
	public void aSnapshotSurvivesAJsonRoundTrip() throws JsonFormatException {
		FleetSnapshot sent = new FleetSnapshot(FleetSnapshot.Config.of(table(7)), List.of(SERVER), 100, List.of("p:1"),
				List.of(CRASH), EVACUATION);
		FleetSnapshot received = Json.read(Json.write(sent), FleetSnapshot.class);
		assertEquals(received, sent);
		RoutingTable table = Objects.requireNonNull(received.config()).toTable();
		Workspace workspace = table.findWorkspaceByKey("k");
		assertTrue(workspace != null && workspace.prepaidTokens() == 1_000);
		assertTrue(table.findRoute("h", "/a/b").isPresent());
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

		private final FakeFleet fleet = new FakeFleet();

		private final PeerClient link = new PeerClient("10.0.0.1:1",
				new PeerDirectory("10.0.0.1:1", List.of("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"), new Random(1)),
				this.calls, this.control, new DecisionLog(() -> 0));

		void advance(Duration duration) {
			for (long ms = 0; ms < duration.toMillis(); ms += 50) {
				this.control.advance(Duration.ofMillis(50));
				this.control.runPending();
			}
		}

	}

	private static final class ScriptedCalls implements PeerCalls {

		private final List<String> calledAddresses = new ArrayList<>();

		private final List<CompletableFuture<Map<String, Long>>> pendingLoans = new ArrayList<>();

		private @Nullable FleetSnapshot snapshot;

		private boolean unresponsive;

		private boolean acceptsTransfers = true;

		@Override
		public CompletableFuture<FleetSnapshot> fetchSnapshot(String address, FleetSnapshot.Request question) {
			this.calledAddresses.add(address);
			FleetSnapshot response = this.snapshot;
			return (response != null) ? CompletableFuture.completedFuture(response) : new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<Map<String, Long>> borrow(String address, BorrowRequest question) {
			this.calledAddresses.add(address);
			CompletableFuture<Map<String, Long>> response = new CompletableFuture<>();
			if (!this.unresponsive) {
				response.complete(Map.of());
			}
			this.pendingLoans.add(response);
			return response;
		}

		@Override
		public CompletableFuture<Boolean> transfer(String address, Map<String, Long> tokens) {
			this.calledAddresses.add(address);
			return CompletableFuture.completedFuture(this.acceptsTransfers);
		}

		@Override
		public CompletableFuture<Grants> announce(String address, Grants grants) {
			this.calledAddresses.add(address);
			return this.unresponsive ? new CompletableFuture<>() : CompletableFuture.completedFuture(grants);
		}

		@Override
		public CompletableFuture<CrashReports> report(String address, CrashReports reports) {
			this.calledAddresses.add(address);
			return CompletableFuture.completedFuture(reports);
		}

	}

	private static final class FakeFleet implements FleetView {

		private @Nullable RoutingTable table;

		private @Nullable List<BackendServer> servers;

		private final List<CrashReport> crashReports = new ArrayList<>();

		private long ageMs = Long.MAX_VALUE;

		private EvacuationState evacuations = EvacuationState.empty();

		private long evacuationsAgeMs;

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
		public EvacuationState evacuations() {
			return this.evacuations;
		}

		@Override
		public long evacuationsAgeMs() {
			return this.evacuationsAgeMs;
		}

		@Override
		public void applyEvacuations(EvacuationState received, String peer) {
			this.evacuations = this.evacuations.merge(received);
		}

		@Override
		public List<CrashReport> crashReports() {
			return List.of();
		}

		@Override
		public void applyCrashReports(List<CrashReport> reports) {
			this.crashReports.addAll(reports);
		}

		@Override
		public void applyConfiguration(RoutingTable configuration) {
			this.table = configuration;
		}

		@Override
		public void applyServers(Collection<BackendServer> newServers, long newAgeMs) {
			this.servers = List.copyOf(newServers);
			this.ageMs = newAgeMs;
		}

	}

}
