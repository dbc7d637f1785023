package io.verbenacleat.entry.budget;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.account.Grant;
import io.verbenacleat.proto.v1.ReserveResponse;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * The gateway of these tests has no process row, so it counts as closed.
 */
public class GatewayReconcilerTests {

	private static final Duration TWO_ROUNDS = Duration.ofSeconds(25);

	private TestEnvironment environment = new TestEnvironment();

	private FakeAgents agents = new FakeAgents(this.environment);

	private TestEnvironment.Holder holder = this.environment.holder("unused", new FixedGrantPolicy(100));

	@BeforeMethod
	void setUp() {
		this.environment = new TestEnvironment();
		this.environment.addAccount("a", 1_000);
		this.agents = new FakeAgents(this.environment);
		this.agents.add("agent-1");
		this.holder = this.environment.holder("h1", new FixedGrantPolicy(100));
		new GatewayReconciler("h1", this.holder.ledger, this.holder.store, this.holder.control, this.agents,
				this.agents);
	}

	// Guards against holding tokens because of an agent that had ended before they were
	// reserved.
	@Test
	void freesTokensReservedAfterTheLostAgentEnded() {
		endAgent();
		reserve("r1", 40);
		this.holder.control.advance(TWO_ROUNDS);
		assertEquals(this.holder.ledger.reservingGateways().size(), 0);
		assertEquals(grant().heldTokens(), 0);
	}

	// Guards against releasing tokens that the lost agent may have spent, when a later
	// reservation cannot have been run by it.
	@Test
	void holdsTokensReservedBeforeTheLostAgentEnded() {
		reserve("r1", 40);
		endAgent();
		reserve("r2", 30);
		this.holder.control.advance(TWO_ROUNDS);
		assertEquals(this.holder.ledger.reservingGateways().size(), 0);
		assertEquals(grant().heldTokens(), 40);
	}

	// Guards against releasing tokens reserved after an agent was lost but is not
	// known to have ended: it may be cut off and still receive orders.
	@Test
	void holdsTokensThatALostAgentMayStillSpend() {
		this.agents.agent("agent-1").lost = true;
		reserve("r1", 40);
		this.holder.control.advance(TWO_ROUNDS);
		assertEquals(grant().heldTokens(), 40);
	}

	private void endAgent() {
		this.agents.agent("agent-1").lost = true;
		this.holder.ledger.agentEnded("agent-1");
		this.holder.advanceMs(0);
	}

	private void reserve(String requestId, long tokens) {
		CompletableFuture<ReserveResponse> answer = this.holder.ledger
			.reserve(TestEnvironment.request(requestId, "a", tokens));
		this.holder.advanceMs(100);
		assertTrue(answer.join().getGranted());
	}

	private Grant grant() {
		return Objects.requireNonNull(this.environment.account("a").grants().get("h1"));
	}

}
