package io.verbenacleat.itest.office;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;

import io.verbenacleat.standins.BookingCall;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against bookings that are executed twice, or executed although the response said
 * not-run.
 */
@SuppressWarnings("NullAway.Init")
public class NotRepeatableTests {

	private static final int ENTRIES = 3;

	private static final int KEYS = 25;

	private static final int REPEATS = 9;

	private OfficeFixture office;

	@BeforeClass
	public void start() throws Exception {
		this.office = OfficeFixture.start(ENTRIES, 1);
	}

	@AfterClass(alwaysRun = true)
	public void stop() throws Exception {
		this.office.close();
	}

	@Test
	public void concurrentRepeatsRunAtMostOnceWhenAnswersAreLost() throws Exception {
		this.office.entryTables.forEach((store) -> store.setWriteFaults(0.3, 0.1));
		List<Callable<Reply>> tasks = new ArrayList<>();
		for (int i = 0; i < KEYS * REPEATS; i++) {
			int entry = i % ENTRIES;
			String key = "order-" + (i / REPEATS);
			tasks.add(() -> this.office.caller.createBooking(this.office.url(entry), this.office.key, key, body(key)));
		}
		List<Reply> replies = ParallelTasks.runAll(tasks);
		assertRunAtMostOnce();
		this.office.entryTables.forEach((store) -> store.setWriteFaults(0, 0));
		System.out.println("repeats: "
				+ replies.stream()
					.collect(Collectors.groupingBy((reply) -> reply.status() + " " + reply.code(),
							Collectors.counting()))
				+ ", answers lost: " + this.office.entryTables.stream().mapToInt(FaultyTableStore::lostAnswers).sum());
		for (int i = 0; i < KEYS; i++) {
			assertRepeatsAreReplayed("order-" + i);
		}
		assertRunAtMostOnce();
	}

	@Test
	public void isNotRunWhileTheClaimCannotBeWritten() {
		Reply baseline = this.office.caller.createBooking(this.office.url(0), this.office.key, "warm", body("warm"));
		assertEquals(baseline.status(), 201, baseline.toString());
		this.office.entryTables.forEach((store) -> store.setAvailable(false));
		for (int i = 0; i < ENTRIES; i++) {
			Reply reply = this.office.caller.createBooking(this.office.url(i), this.office.key, "out-" + i,
					body("out"));
			assertEquals(reply.status(), 503, reply.toString());
			assertEquals(reply.code(), "claim_store_unreachable");
			assertEquals(reply.outcome(), "not-run");
		}
		this.office.entryTables.forEach((store) -> store.setAvailable(true));
		Reply next = this.office.caller.createBooking(this.office.url(0), this.office.key, "out-0", body("out"));
		assertEquals(next.status(), 201, next.toString());
		assertFalse(next.replayed(), "the refused request was executed");
		assertFalse(executionCounts().containsKey("out-1"), "a refused request was executed later");
	}

	private void assertRepeatsAreReplayed(String key) {
		OfficeFixture.await("the first request of " + key + " has ended", () -> repeat(0, key).status() == 201);
		Reply first = repeat(0, key);
		List<String> bodies = this.office.caller.replies()
			.stream()
			.filter((reply) -> reply.status() == 201 && reply.body().contains("\"" + key + "\""))
			.map(Reply::body)
			.distinct()
			.toList();
		assertEquals(bodies, List.of(first.body()));
		for (int i = 0; i < ENTRIES; i++) {
			Reply repeat = repeat(i, key);
			assertTrue(repeat.replayed(), repeat.toString());
			assertEquals(repeat.body(), first.body());
			Reply other = this.office.caller.createBooking(this.office.url(i), this.office.key, key, body("other"));
			assertEquals(other.status(), 422, other.toString());
			assertEquals(other.code(), "idempotency_key_reused");
		}
	}

	private Reply repeat(int entry, String key) {
		return this.office.caller.createBooking(this.office.url(entry), this.office.key, key, body(key));
	}

	private void assertRunAtMostOnce() {
		executionCounts().forEach((key, count) -> assertEquals(count, 1, "executions of booking " + key));
	}

	private Map<String, Integer> executionCounts() {
		return this.office.booking.records()
			.stream()
			.collect(Collectors.groupingBy(BookingCall::idempotencyKey, Collectors.summingInt((call) -> 1)));
	}

	private static String body(String name) {
		return "{\"slot\":\"" + name + "\"}";
	}

}
