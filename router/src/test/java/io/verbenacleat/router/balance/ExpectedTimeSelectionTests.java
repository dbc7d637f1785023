package io.verbenacleat.router.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.verbenacleat.router.server.BackendServer;
import io.verbenacleat.router.server.ServerList;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/**
 * Selection by the expected time to the first event, of one router. Fleets of routers are
 * in {@code io.verbenacleat.bench.evenload}.
 */
public class ExpectedTimeSelectionTests {

	private static final int SERVERS = 12;

	private static final int LONG_PROMPT = 9_000;

	private long nowMs;

	private ServerStates states = newRouter();

	@BeforeMethod
	public void createRouter() {
		this.nowMs = 0;
		this.states = newRouter();
	}

	// Guards against prompts that each router has read on another server.
	@Test
	public void allRoutersSendAPrefixToTheSameServer() {
		for (long key = 1; key <= 50; key++) {
			assertEquals(select(newRouter(), longPrompt(key)).server(), select(this.states, longPrompt(key)).server());
		}
	}

	// Guards against a hot prompt that overruns its first server, and against one that is
	// read on all servers.
	@Test
	public void aHotPrefixIsKeptOnAsManyServersAsItNeeds() {
		Map<String, Integer> hot = new HashMap<>();
		for (int i = 0; i < 2_000; i++) {
			this.nowMs += 10;
			boolean isHot = i % 4 == 0;
			ServerState state = select(this.states, longPrompt(isHot ? 7 : 100 + i % 61));
			if (isHot) {
				hot.merge(state.server().id(), 1, Integer::sum);
			}
			finish(state.model().onSend(longPrompt(isHot ? 7 : 100 + i % 61), this.nowMs), 1_000);
		}
		long used = hot.values().stream().filter((count) -> count >= 20).count();
		assertTrue(used >= 2 && used < SERVERS, hot.toString());
	}

	// Guards against a router that sends everything to the server that just looked idle.
	@Test
	public void oneReportOfAnIdleServerDoesNotAttractAllRequests() {
		for (ServerState state : this.states.all()) {
			for (int i = 0; i < 10; i++) {
				state.onReport(LoadReport.ofRequests(20), 3_000L * i);
			}
		}
		this.nowMs = 30_000;
		ServerState idle = this.states.state(server(0, 1));
		idle.onReport(LoadReport.ofRequests(0), this.nowMs);
		int sends = 0;
		for (int i = 0; i < 120; i++) {
			ServerState state = select(this.states, RequestDescription.of(0));
			state.model().onSend(RequestDescription.of(0), this.nowMs);
			sends += (state == idle) ? 1 : 0;
		}
		assertTrue(sends <= 3 * 120 / SERVERS, sends + " sends to the idle server");
	}

	// Guards against an old report that overwrites a newer one.
	@Test
	public void anOvertakenReportIsIgnored() {
		ServerLoadModel model = new ServerLoadModel(8, new RequestTimes());
		model.onReport(LoadReport.ofRequests(2), 2_000);
		double before = model.requests();
		model.onReport(LoadReport.ofRequests(90), 1_000);
		assertEquals(model.requests(), before);
	}

	// Guards against estimates of the ended process that apply to the new one.
	@Test
	public void aRestartedServerHasNoRequests() {
		ServerState old = this.states.state(server(3, 1));
		ServerLoadModel.Send lost = old.model().onSend(longPrompt(1), 0);
		this.states.update(ServerList.of(List.of(server(3, 2))));
		ServerState restarted = this.states.state(server(3, 2));
		lost.onEnd(5, 0);
		lost.onEnd(6, 0);
		assertEquals(restarted.model().requests(), 0.0);
		assertEquals(old.model().requests(), 0.0);
		assertEquals(old.model().unreadTokens(6), 0.0);
	}

	// Guards against a slow server that gets as many requests as a fast one.
	@Test
	public void slowServersGetFewerRequests() {
		Map<String, Integer> sends = new HashMap<>();
		for (int i = 0; i < 3_000; i++) {
			this.nowMs += 5;
			ServerState state = select(this.states, RequestDescription.of(0));
			boolean slow = state.server().port() % 2 == 0;
			sends.merge(slow ? "slow" : "fast", 1, Integer::sum);
			finish(state.model().onSend(RequestDescription.of(0), this.nowMs), slow ? 2_000 : 1_000);
		}
		assertTrue(sends.getOrDefault("fast", 0) > 1.3 * sends.getOrDefault("slow", 0), sends.toString());
	}

	// Guards against a prompt part that crashes one more server because its own is busy.
	@Test
	public void requestsThatMayCrashServersStayTogether() {
		RequestDescription suspect = new RequestDescription(9, LONG_PROMPT, 6_000, true);
		ServerState first = select(this.states, suspect);
		for (int i = 0; i < 30; i++) {
			first.model().onSend(longPrompt(9), this.nowMs);
		}
		assertNotEquals(select(this.states, longPrompt(9)), first);
		assertEquals(select(this.states, suspect), first);
	}

	// Guards against needless hops between availability zones.
	@Test
	public void theOwnZoneIsPreferred() {
		List<Candidate> candidates = new ArrayList<>();
		for (int i = 0; i < SERVERS; i++) {
			candidates.add(new Candidate(server(i, 1), 0, 80, 0, i == 5, new ServerLoadModel(8, new RequestTimes())));
		}
		SelectionPolicy policy = new ExpectedTimeSelection(() -> 0, () -> 0);
		assertEquals(policy.select(candidates, RequestDescription.of(0)).server().id(), "i-5");
	}

	// Guards against a failing server that attracts requests because it is idle.
	@Test
	public void aServerWithAHighFailureRateIsAvoided() {
		ServerState home = select(this.states, RequestDescription.of(5));
		home.onReport(LoadReport.ofRequests(0), 0);
		for (int i = 0; i < 8; i++) {
			home.onSend(0);
			home.onFailure(0);
		}
		home.onReport(LoadReport.ofRequests(0), 1);
		assertNotEquals(select(this.states, RequestDescription.of(5)), home);
	}

	private void finish(ServerLoadModel.Send send, long durationMs) {
		send.onFirstEvent(this.nowMs + durationMs / 50);
		send.onEnd(this.nowMs + durationMs, 50);
	}

	private ServerStates newRouter() {
		SelectionPolicy policy = new ExpectedTimeSelection(() -> 0, () -> this.nowMs);
		ServerStates created = new ServerStates("z", policy, policy,
				new PermitSchedule(() -> PermitSchedule.UNKNOWN_TIME_MS));
		List<BackendServer> servers = new ArrayList<>();
		for (int i = 0; i < SERVERS; i++) {
			servers.add(server(i, 1));
		}
		created.update(ServerList.of(servers));
		servers.forEach(created::state);
		return created;
	}

	private ServerState select(ServerStates router, RequestDescription request) {
		return router.select("s", true, request, Set.of(), this.nowMs).orElseThrow();
	}

	private static RequestDescription longPrompt(long key) {
		return new RequestDescription(key, LONG_PROMPT, 6_000);
	}

	private static BackendServer server(int number, long startedAtMs) {
		return new BackendServer("i-" + number, startedAtMs, "s", "127.0.0.1", 80 + number, "z", 64, "v1", false);
	}

}
