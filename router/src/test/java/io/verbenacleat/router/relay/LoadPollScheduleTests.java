package io.verbenacleat.router.relay;

import java.util.Arrays;
import java.util.Random;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests how often servers are polled for their load in small and large fleets.
 */
public class LoadPollScheduleTests {

	private static final int ROUNDS = 400;

	@Test
	public void smallFleetsPollEachServerInEachRound() {
		for (int round = 0; round < 10; round++) {
			assertTrue(LoadPollSchedule.isDue("i-1", round, 0));
			assertTrue(LoadPollSchedule.isDue("i-1", round, 10));
		}
	}

	// The routers of a fleet started at different times and poll the same server.
	@Test
	public void thePollsOfAServerDoNotGrowWithTheFleet() {
		for (int routers : new int[] { 33, 100, 370 }) {
			Random random = new Random(20261204);
			int polls = 0;
			for (int router = 0; router < routers; router++) {
				int firstRound = random.nextInt(1_000);
				int pollsOfRouter = 0;
				for (int round = 0; round < ROUNDS; round++) {
					pollsOfRouter += LoadPollSchedule.isDue("i-1", firstRound + round, routers) ? 1 : 0;
				}
				assertTrue(pollsOfRouter >= ROUNDS / (routers / 10 + 1), pollsOfRouter + " polls by one router");
				polls += pollsOfRouter;
			}
			assertTrue(polls <= ROUNDS * 11, polls + " polls by " + routers + " routers");
		}
	}

	@Test
	public void aRouterSpreadsItsPollsOverRounds() {
		int[] perRound = new int[10];
		for (int server = 0; server < 600; server++) {
			for (int round = 0; round < 10; round++) {
				perRound[round] += LoadPollSchedule.isDue("i-" + server * 7919, round, 100) ? 1 : 0;
			}
		}
		for (int count : perRound) {
			assertTrue(count > 30 && count < 120, "polled " + count + " servers in a round");
		}
		assertEquals(Arrays.stream(perRound).sum(), 600);
	}

}
