package io.verbenacleat.entry.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.verbenacleat.core.config.BackendServerConfig;
import io.verbenacleat.core.config.BudgetConfig;
import io.verbenacleat.core.config.LimitsConfig;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.Membership;
import io.verbenacleat.entry.EntryStateKeys;
import io.verbenacleat.entry.routing.AgentLoads;
import io.verbenacleat.entry.routing.PrefixKey;
import io.verbenacleat.proto.v1.GetStatusResponse;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

/**
 * Guards against orders to agents that do not serve the target or are draining, against
 * uneven load, and against orders reported as resolved too early.
 */
public class AgentSelectorTests {

	private static final WorkTarget TARGET = new WorkTarget(BackendServerConfig.Kind.MODEL_ENGINE, "model");

	private static final Member NEAR = agent("near", "site");

	private static final Member NEAR_TOO = agent("near-too", "site");

	private static final Member FAR = agent("far", "other");

	private final ManualControlThread control = new ManualControlThread(Instant.EPOCH);

	private final Blackboard blackboard = board(NEAR, NEAR_TOO, FAR);

	private final AgentSelector selector = new AgentSelector("site", this.blackboard, this.control.clock(),
			new AgentLoads());

	private String select(String... excluded) {
		return this.selector.select(TARGET, Set.of(excluded)).map(Member::incarnation).orElse("none");
	}

	@Test
	public void ownSiteIsPreferredThenFewestInProgress() {
		AgentSelector fresh = new AgentSelector("site", this.blackboard, this.control.clock(), new AgentLoads());
		fresh.started(NEAR);
		assertEquals(fresh.select(TARGET, Set.of()).orElseThrow(), NEAR_TOO);
		fresh.started(NEAR_TOO);
		fresh.started(NEAR_TOO);
		assertEquals(fresh.select(TARGET, Set.of()).orElseThrow(), NEAR);
		fresh.ended(NEAR_TOO);
		fresh.ended(NEAR_TOO);
		assertEquals(fresh.select(TARGET, Set.of()).orElseThrow(), NEAR_TOO);
	}

	@Test
	public void reportReplacesTheCountOfOwnOrders() {
		AgentLoads loads = new AgentLoads();
		AgentSelector fresh = new AgentSelector("site", this.blackboard, this.control.clock(), loads);
		fresh.started(NEAR);
		loads.addReport(NEAR.incarnation(), 0, 0);
		loads.addReport(NEAR_TOO.incarnation(), 1, 0);
		assertEquals(fresh.select(TARGET, Set.of()).orElseThrow(), NEAR);
	}

	@Test
	public void promptsWithSamePrefixGoToSameAgent() {
		PrefixKey key = PrefixKey.of(5);
		Member first = this.selector.select(TARGET, key, Set.of()).orElseThrow();
		this.selector.started(first);
		// The load factor of 1.1 times the mean, rounded up, allows one of two agents one
		// more order.
		assertEquals(this.selector.select(TARGET, key, Set.of()).orElseThrow(), first);
		this.selector.started(first);
		this.selector.started(first);
		assertNotEquals(this.selector.select(TARGET, key, Set.of()).orElseThrow(), first);
	}

	@Test
	public void drainingAndUnsuitableServersAreExcluded() {
		assertEquals(select("near", "near-too", "far"), "none");
		Blackboard board = board(NEAR, FAR);
		AgentSelector own = new AgentSelector("site", board, this.control.clock(), new AgentLoads());
		board.write(EntryStateKeys.DRAINED_SERVERS, Set.of("near"));
		assertEquals(own.select(TARGET, Set.of()).orElseThrow(), FAR);
		board.write(EntryStateKeys.AGENT_STATUS,
				Map.of("far", GetStatusResponse.newBuilder().setDraining(true).build()));
		assertEquals(own.select(TARGET, Set.of()).isPresent(), false);
		assertEquals(own.select(new WorkTarget(BackendServerConfig.Kind.SERVICE, "model"), Set.of()).isPresent(),
				false);
	}

	@Test
	public void failedAgentIsPenalizedTemporarily() {
		this.selector.penalize(NEAR);
		assertEquals(select("near-too"), "far");
		assertEquals(select("near-too", "far"), "near");
		this.control.advance(Duration.ofMillis(AgentSelector.UNREACHABLE_PENALTY_MS));
		assertEquals(select("near-too"), "near");
	}

	@Test
	public void resolvedThroughCoversOnlyContiguousResolvedOrders() {
		OrderSequences sequences = new OrderSequences("gateway");
		var first = sequences.next("agent");
		var second = sequences.next("agent");
		sequences.markResolved(second);
		assertEquals(sequences.resolvedThrough("agent"), 0);
		sequences.markResolved(first.toBuilder().setGatewayIncarnation("another").build());
		assertEquals(sequences.resolvedThrough("agent"), 0);
		sequences.markResolved(first);
		assertEquals(sequences.resolvedThrough("agent"), 2);
	}

	private static Blackboard board(Member... members) {
		Blackboard board = new Blackboard();
		List<BackendServerConfig> servers = List.of(members)
			.stream()
			.map((member) -> new BackendServerConfig(member.incarnation(), BackendServerConfig.Kind.MODEL_ENGINE,
					"http://127.0.0.1", member.site(), List.of("model"), null, false))
			.toList();
		board.write(EntryStateKeys.CONFIG, new OfficeConfig(1, "office", "region", List.of(), List.of(), servers,
				LimitsConfig.DEFAULT, BudgetConfig.DEFAULT));
		board.write(EntryStateKeys.MEMBERS, new Membership(List.of(members)));
		return board;
	}

	private static Member agent(String name, String site) {
		return new Member(name, Member.Role.AGENT, "127.0.0.1:1", "127.0.0.1", "region", "zone", site, name, 1, 0);
	}

}
