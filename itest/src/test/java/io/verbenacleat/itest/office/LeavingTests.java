package io.verbenacleat.itest.office;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.agent.AgentDaemon;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.entry.EntryDaemon;
import io.verbenacleat.standins.EngineRecord;
import okhttp3.Request;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against new work at servers that leave, and against stops that break requests in
 * progress.
 */
public class LeavingTests {

	/** The bound of R6. */
	private static final long BOUND_MS = 3_000;

	/** Load goes on for this long after the bound. */
	private static final long AFTER_BOUND_MS = 1_000;

	@Test
	public void leavingServersGetNoNewWorkAfterTheBound() throws Exception {
		try (OfficeFixture office = OfficeFixture.start(2, 3)) {
			try (Load load = new Load()) {
				for (int worker = 0; worker < 6; worker++) {
					String url = office.url(worker);
					String word = "l" + worker + "-";
					load.repeat((i) -> {
						Reply reply = office.caller.chat(url, office.key, Caller.chatBody(word + i, 5, 20));
						assertTrue(reply.isDone(), reply.toString());
					});
				}
				OfficeFixture.await("all engines work",
						() -> office.engines.stream().allMatch((engine) -> !engine.records().isEmpty()));
				long drainedAtMs = office.drains.set("engine-0", true, "test").atMs();
				assertNoNewWork(office, 0, drainedAtMs, "drain row");
				long leavingAtMs = System.currentTimeMillis();
				office.setLeaving(1);
				assertNoNewWork(office, 1, leavingAtMs, "host list");
			}
		}
	}

	@Test
	public void stopsFinishTheRequestsInProgress() throws Exception {
		try (OfficeFixture office = OfficeFixture.start(2, 2, 20, 1_000_000)) {
			List<Callable<Reply>> tasks = new ArrayList<>();
			for (int i = 0; i < 16; i++) {
				String url = office.url(i);
				String body = Caller.chatBody("s" + i, 80, 100);
				tasks.add(() -> office.caller.chat(url, office.key, body));
			}
			CompletableFuture<List<Reply>> replies = CompletableFuture.supplyAsync(() -> {
				try {
					return Load.all(tasks);
				}
				catch (Exception ex) {
					throw new IllegalStateException(ex);
				}
			});
			OfficeFixture.await("all requests run", () -> running(office) == 16);
			AgentDaemon agent = office.agents.get(0);
			EntryDaemon entry = office.entries.get(1);
			CompletableFuture<Void> agentStop = CompletableFuture.runAsync(() -> office.stop(agent));
			CompletableFuture<Void> entryStop = CompletableFuture.runAsync(() -> office.stop(entry));
			assertEquals(running(office), 16, "requests in progress when the stops began");
			List<Reply> ended = replies.get();
			for (int i = 0; i < ended.size(); i++) {
				assertTrue(ended.get(i).isDone(), ended.get(i).toString());
				assertEquals(ended.get(i).content(), Caller.answer("s" + i, 80));
			}
			CompletableFuture.allOf(agentStop, entryStop).get();
		}
	}

	@Test
	public void aStopDoesNotWaitForAHolderThatWasClosed() throws Exception {
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
	public void aStopEndsWhenThePlatformIsLost() throws Exception {
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

	private static void assertNoNewWork(OfficeFixture office, int engine, long sinceMs, String cause) {
		OfficeFixture.await("the bound is over",
				() -> System.currentTimeMillis() > sinceMs + BOUND_MS + AFTER_BOUND_MS);
		long lastMs = office.engines.get(engine)
			.records()
			.stream()
			.mapToLong(EngineRecord::startedAtMs)
			.max()
			.orElseThrow();
		long otherMs = office.engines.get(2)
			.records()
			.stream()
			.mapToLong(EngineRecord::startedAtMs)
			.max()
			.orElseThrow();
		System.out.printf("%s: last new work %d ms after it was set%n", cause, lastMs - sinceMs);
		assertTrue(lastMs <= sinceMs + BOUND_MS, "new work " + (lastMs - sinceMs) + " ms after the " + cause);
		assertTrue(otherMs > sinceMs + BOUND_MS, "load must go on");
	}

	private static long running(OfficeFixture office) {
		return office.engines.stream()
			.flatMap((engine) -> engine.records().stream())
			.filter((run) -> run.finishedAtMs() == 0 && run.generatedTokens() > 0)
			.count();
	}

}
