package io.verbenacleat.itest.office;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;

import io.verbenacleat.standins.CompletionRecord;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against overspend while some entries cannot reach the table service and others
 * top up and spend.
 */
public class SpendingTests {

	private static final int ENTRIES = 3;

	private static final int TOP_UPS = 8;

	private static final long TOP_UP_TOKENS = 4_000;

	private static final int REFUSALS_PER_CUT = 200;

	private static final int REFUSALS_AT_END = 300;

	private static final Duration RETRY_AFTER = Duration.ofMillis(5);

	private static final int ANSWER_TOKENS = 60;

	/** More than the worst case of one request. */
	private static final long REQUEST_BOUND_TOKENS = 64 + 16 + 130 + ANSWER_TOKENS + OfficeTexts.OVERRUN_TOKENS;

	private final List<TopUp> topUps = new CopyOnWriteArrayList<>();

	private final List<Refused> refusals = new CopyOnWriteArrayList<>();

	@Test
	public void spendStaysWithinTheTopUpsAtEveryPrefix() throws Exception {
		OfficeFixture office = OfficeFixture.start(ENTRIES, 2, 0, TOP_UP_TOKENS);
		this.topUps.add(new TopUp(0, 0));
		try (office) {
			office.entryTables.get(0).setWriteFaults(0.2, 0.1);
			try (Load load = new Load()) {
				for (int worker = 0; worker < 12; worker++) {
					String url = office.url(worker);
					String word = "p" + worker + "-";
					load.repeat((i) -> spend(office, url, word + i));
				}
				for (int i = 1; i <= TOP_UPS; i++) {
					// The cut moves on: each entry loses the table service for some
					// top-ups.
					int cut = i % ENTRIES;
					office.entryTables.get(cut).setAvailable(false);
					long beforeMs = System.currentTimeMillis();
					office.accounts.topUp(OfficeFixture.ACCOUNT, "top-up-" + i, TOP_UP_TOKENS);
					this.topUps.add(new TopUp(beforeMs, System.currentTimeMillis()));
					long goalTokens = i * TOP_UP_TOKENS;
					int refusedBefore = this.refusals.size();
					OfficeFixture.await("tokens are spent, or refused",
							() -> spentTokens(office) > goalTokens - TOP_UP_TOKENS / 2
									|| this.refusals.size() > refusedBefore + REFUSALS_PER_CUT);
					office.entryTables.get(cut).setAvailable(true);
					OfficeFixture.await("tokens up to the top-up before are spent",
							() -> spentTokens(office) > goalTokens - TOP_UP_TOKENS / 2);
				}
				// Each entry may keep a rest that is too small for one more request.
				OfficeFixture.await("the budget is used up",
						() -> spentTokens(office) + ENTRIES * REQUEST_BOUND_TOKENS > (TOP_UPS + 1) * TOP_UP_TOKENS);
				// An overspend would show only now.
				int refusedBefore = this.refusals.size();
				OfficeFixture.await("the load goes on", () -> this.refusals.size() > refusedBefore + REFUSALS_AT_END
						|| spentTokens(office) > (TOP_UPS + 1) * TOP_UP_TOKENS);
			}
		}
		checkPrefixes(office);
		reportRefusals(office);
	}

	private void spend(OfficeFixture office, String url, String word) {
		long beforeMs = System.currentTimeMillis();
		Reply reply = office.caller.chat(url, office.key, Caller.chatBody(word, ANSWER_TOKENS, ANSWER_TOKENS));
		if (!reply.isDone()) {
			assertEquals(reply.outcome(), "not-run", reply.toString());
			this.refusals.add(new Refused(reply.code(), beforeMs, System.currentTimeMillis()));
			LockSupport.parkNanos(RETRY_AFTER.toNanos());
		}
	}

	private void checkPrefixes(OfficeFixture office) {
		List<CompletionRecord> runs = new ArrayList<>(runs(office));
		runs.sort(Comparator.comparingLong(CompletionRecord::finishedAtMs));
		long spentTokens = 0;
		for (CompletionRecord run : runs) {
			spentTokens += tokens(run);
			long atMs = run.finishedAtMs();
			long acceptedTokens = TOP_UP_TOKENS
					* this.topUps.stream().filter((topUp) -> topUp.beforeMs() <= atMs).count();
			assertTrue(spentTokens <= acceptedTokens, spentTokens + " tokens spent of " + acceptedTokens);
		}
		System.out.printf("spending: %d runs, %d of %d tokens%n", runs.size(), spentTokens,
				TOP_UP_TOKENS * this.topUps.size());
	}

	/**
	 * Counts as false those refusals during which the accepted top-ups covered all runs
	 * that had started, at their worst case, and the refused request.
	 * @param office the office
	 */
	private void reportRefusals(OfficeFixture office) {
		List<CompletionRecord> runs = runs(office);
		Map<String, Long> all = this.refusals.stream()
			.collect(Collectors.groupingBy(Refused::code, Collectors.counting()));
		Map<String, Long> wrong = this.refusals.stream().filter((refused) -> {
			long startedTokens = runs.stream()
				.filter((run) -> run.startedAtMs() <= refused.afterMs())
				.mapToLong((run) -> (run.finishedAtMs() < refused.beforeMs()) ? tokens(run) : REQUEST_BOUND_TOKENS)
				.sum();
			long acceptedTokens = TOP_UP_TOKENS
					* this.topUps.stream().filter((topUp) -> topUp.afterMs() <= refused.beforeMs()).count();
			return startedTokens + 12 * REQUEST_BOUND_TOKENS <= acceptedTokens;
		}).collect(Collectors.groupingBy(Refused::code, Collectors.counting()));
		System.out.println("refusals: " + all + ", false ones: " + wrong);
	}

	private static long spentTokens(OfficeFixture office) {
		return runs(office).stream().mapToLong(SpendingTests::tokens).sum();
	}

	private static List<CompletionRecord> runs(OfficeFixture office) {
		return office.engines.stream().flatMap((engine) -> engine.records().stream()).toList();
	}

	private static long tokens(CompletionRecord run) {
		return run.promptTokens() + run.generatedTokens();
	}

	/**
	 * One accepted top-up. Immutable.
	 *
	 * @param beforeMs when it was sent
	 * @param afterMs when it was known to be accepted
	 */
	private record TopUp(long beforeMs, long afterMs) {
	}

	/**
	 * One refused request. Immutable.
	 *
	 * @param code the code of the refusal
	 * @param beforeMs when it was sent
	 * @param afterMs when it was refused
	 */
	private record Refused(String code, long beforeMs, long afterMs) {
	}

}
