package io.verbenacleat.itest.office;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.agent.AgentDaemon;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.entry.EntryDaemon;
import io.verbenacleat.proto.v1.GetStatusResponse;
import okhttp3.Request;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against new requests at backend servers that leave the fleet, and against
 * graceful stops that break requests in progress or never end. The time until an agent
 * detects that its server leaves is checked by {@code PropagationTests} of the agent, on
 * a manual clock.
 */
public class LeavingTests {

	private static final int REQUESTS_AFTER_DRAIN = 200;

	@Test
	public void leavingServersGetNoNewRequests() throws Exception {
		try (OfficeFixture office = OfficeFixture.start(2, 3)) {
			try (ParallelTasks load = new ParallelTasks()) {
				for (int worker = 0; worker < 6; worker++) {
					String url = office.url(worker);
					String word = "l" + worker + "-";
					load.repeat((i) -> {
						Reply reply = office.caller.chat(url, office.key, Caller.chatBody(word + i, 5, 20));
						assertTrue(reply.isDone(), reply.toString());
					});
				}
				OfficeFixture.await("all engines have received requests",
						() -> office.engines.stream().allMatch((engine) -> !engine.records().isEmpty()));
				long drainedAtMs = office.drains.setDraining("engine-0", true, "test").atMs();
				assertNoNewRequests(office, 0, drainedAtMs, "drain row");
				long leavingAtMs = System.currentTimeMillis();
				office.setLeaving(1);
				assertNoNewRequests(office, 1, leavingAtMs, "host list");
			}
		}
	}

	@Test
	public void gracefulStopCompletesRequestsInProgress() throws Exception {
		try (OfficeFixture office = OfficeFixture.start(2, 2, 20, 1_000_000)) {
			List<Callable<Reply>> tasks = new ArrayList<>();
			for (int i = 0; i < 16; i++) {
				String url = office.url(i);
				String body = Caller.chatBody("s" + i, 80, 100);
				tasks.add(() -> office.caller.chat(url, office.key, body));
			}
			CompletableFuture<List<Reply>> replies = CompletableFuture.supplyAsync(() -> {
				try {
					return ParallelTasks.runAll(tasks);
				}
				catch (Exception ex) {
					throw new IllegalStateException(ex);
				}
			});
			OfficeFixture.await("all requests run", () -> countRunning(office) == 16);
			AgentDaemon agent = office.agents.get(0);
			EntryDaemon entry = office.entries.get(1);
			CompletableFuture<Void> agentStop = CompletableFuture.runAsync(() -> office.stop(agent));
			CompletableFuture<Void> entryStop = CompletableFuture.runAsync(() -> office.stop(entry));
			assertEquals(countRunning(office), 16, "requests in progress when the stops began");
			List<Reply> ended = replies.get();
			for (int i = 0; i < ended.size(); i++) {
				assertTrue(ended.get(i).isDone(), ended.get(i).toString());
				assertEquals(ended.get(i).content(), Caller.answer("s" + i, 80));
			}
			CompletableFuture.allOf(agentStop, entryStop).get();
		}
	}

	@Test
	public void stopDoesNotWaitForAClosedHolder() throws Exception {
		try (OfficeFixture office = OfficeFixture.start(2, 1)) {
			List<String> keys = accountKeys(office);
			office.kill(office.entries.get(0));
			// The killed entry is the home holder of some of these accounts.
			keys.forEach((key) -> office.caller.send(new Request.Builder().url(office.url(1) + "/v1/models")
				.header("Authorization", "Bearer " + key)
				.build()));
			String row = ProcessRow.key(office.entries.get(0).incarnation());
			OfficeFixture.await("the killed entry is closed",
					() -> office.tables.read(row).join().json().contains("CLOSED"));
			CompletableFuture<Void> stop = CompletableFuture.runAsync(() -> office.stop(office.entries.get(1)));
			OfficeFixture.await("the entry has stopped", stop::isDone);
		}
	}

	@Test
	public void stopCompletesWithoutThePlatform() throws Exception {
		try (OfficeFixture office = OfficeFixture.start(2, 1)) {
			// The entry that stops is the home holder of some of these accounts.
			for (String key : accountKeys(office)) {
				Reply reply = office.caller.chat(office.url(0), key, Caller.chatBody("lost", 3, 10));
				assertEquals(reply.status(), 200, reply.toString());
			}
			office.entryTables.get(0).setAvailable(false);
			CompletableFuture<Void> stop = CompletableFuture.runAsync(() -> office.stop(office.entries.get(0)));
			OfficeFixture.await("the entry has stopped", stop::isDone);
			String row = ProcessRow.key(office.entries.get(0).incarnation());
			OfficeFixture.await("another entry has closed it",
					() -> office.tables.read(row).join().json().contains("CLOSED"));
		}
	}

	private static List<String> accountKeys(OfficeFixture office) throws Exception {
		List<String> keys = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			office.accounts.create("account-" + i, "quotes", 1);
			office.accounts.topUp("account-" + i, "first", 1_000_000);
			keys.add(office.callers.create("account-" + i, "caller").reveal());
		}
		return keys;
	}

	/**
	 * Checks that a backend server receives no request once its agent drains. Orders
	 * accepted before may still reach the server, so the comparison starts when none is
	 * in progress.
	 * @param office the fleet, under load
	 * @param engine the index of the backend server
	 * @param sinceMs when the cause was set, in milliseconds since the epoch
	 * @param cause the reason for leaving, for messages
	 */
	private static void assertNoNewRequests(OfficeFixture office, int engine, long sinceMs, String cause) {
		OfficeFixture.await("the agent drains and has no request in progress", () -> {
			GetStatusResponse status = office.agentStatus(engine);
			return status.getDraining() && status.getInProgress() == 0;
		});
		System.out.printf("%s: drained after %d ms%n", cause, System.currentTimeMillis() - sinceMs);
		int requestsBefore = office.engines.get(engine).records().size();
		int otherRequestsBefore = office.engines.get(2).records().size();
		OfficeFixture.await("another backend server receives requests",
				() -> office.engines.get(2).records().size() >= otherRequestsBefore + REQUESTS_AFTER_DRAIN);
		assertEquals(office.engines.get(engine).records().size(), requestsBefore, "requests after the " + cause);
	}

	private static long countRunning(OfficeFixture office) {
		return office.engines.stream()
			.flatMap((engine) -> engine.records().stream())
			.filter((run) -> run.finishedAtMs() == 0 && run.generatedTokens() > 0)
			.count();
	}

}
