package io.verbenacleat.itest.office;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;

import io.verbenacleat.standins.CompletionRecord;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against answers that are mixed up, end early without an error, or run past their
 * reservation.
 */
public class WholeAnswerTests {

	private static final int REQUESTS = 240;

	private static final int RUNAWAY_MAX_TOKENS = 30;

	private static final Set<String> BROKEN_CODES = Set.of("backend_failed", "answer_incomplete", "order_lost");

	@Test
	public void everyAnswerIsWholeOrEndsInAnError() throws Exception {
		try (OfficeFixture office = OfficeFixture.start(2, 3)) {
			office.proxies.forEach((proxy) -> proxy.setBreakProbability(0.3));
			SplittableRandom random = new SplittableRandom(20261204);
			List<Callable<Boolean>> tasks = new ArrayList<>();
			for (int i = 0; i < REQUESTS; i++) {
				int tokens = 1 + random.nextInt(60);
				int maxTokens = 1 + random.nextInt(60);
				boolean stream = random.nextInt(4) != 0;
				String word = "w" + i;
				String url = office.url(i);
				tasks.add(() -> isWhole(office, url, word, tokens, maxTokens, stream));
			}
			List<Boolean> whole = Load.all(tasks);
			long wholeCount = whole.stream().filter((each) -> each).count();
			int breaks = office.proxies.stream().mapToInt(BreakingProxy::breaks).sum();
			System.out.printf("whole answers: %d of %d, %d connections broken%n", wholeCount, REQUESTS, breaks);
			assertTrue(breaks > 0 && wholeCount > 0 && wholeCount < REQUESTS);
		}
	}

	@Test
	public void anEngineThatIgnoresTheBoundIsCut() throws Exception {
		OfficeFixture office = OfficeFixture.start(2, 1);
		try (office) {
			List<Callable<Reply>> tasks = new ArrayList<>();
			for (int i = 0; i < 40; i++) {
				String url = office.url(i);
				String body = Caller.chatBody("cut" + i, 500, RUNAWAY_MAX_TOKENS).replace("quotes", "runaway");
				tasks.add(() -> office.caller.chat(url, office.key, body));
			}
			List<Reply> replies = Load.all(tasks);
			for (int i = 0; i < replies.size(); i++) {
				assertTrue(replies.get(i).isDone(), replies.get(i).toString());
				assertEquals(replies.get(i).finishReason(), "length");
				assertEquals(replies.get(i).content(), Caller.answer("cut" + i, RUNAWAY_MAX_TOKENS));
			}
		}
		new OfficeAudit(office).receipts().forEach((receipt) -> {
			assertEquals(receipt.status(), "CUT");
			// Without usage from the engine, the prompt counts with its bound.
			long reservedTokens = receipt.promptTokens() + RUNAWAY_MAX_TOKENS + OfficeTexts.OVERRUN_TOKENS;
			assertTrue(receipt.billedTokens() <= reservedTokens, receipt + " over " + reservedTokens);
		});
		System.out.println("most tokens of an engine that was cut at " + RUNAWAY_MAX_TOKENS + ": "
				+ office.runaway.records().stream().mapToInt(CompletionRecord::generatedTokens).max().orElseThrow());
		assertEquals(new OfficeAudit(office).receipts().size(), 40);
	}

	private static boolean isWhole(OfficeFixture office, String url, String word, int tokens, int maxTokens,
			boolean stream) {
		String body = Caller.chatBody(word, tokens, maxTokens).replace("\"stream\":true", "\"stream\":" + stream);
		Reply reply = office.caller.chat(url, office.key, body);
		String expected = Caller.answer(word, Math.min(tokens, maxTokens));
		boolean normalEnd = (stream) ? reply.isDone() : reply.mediaType().startsWith("application/json");
		if (normalEnd) {
			assertEquals(reply.content(), expected);
			assertEquals(reply.finishReason(), (tokens > maxTokens) ? "length" : "stop");
			return true;
		}
		assertFalse(reply.body().contains("[DONE]"), reply.toString());
		assertTrue(BROKEN_CODES.contains(reply.code()), reply.toString());
		assertTrue(expected.startsWith(reply.content()), reply.toString());
		return false;
	}

}
