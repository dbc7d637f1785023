package io.verbenacleat.entry.member;

import java.util.ArrayList;
import java.util.List;

import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.Membership;
import io.verbenacleat.entry.EntryStateKeys;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class ReplacedAgentWatchTests {

	private final Blackboard blackboard = new Blackboard();

	private final List<String> replaced = new ArrayList<>();

	// Guards against reporting an agent that may still receive orders: one that is
	// missing
	// from the membership, was replaced at another address, or whose address is now used
	// by an agent of another backend server.
	@Test
	public void onlyAgentsReplacedAtTheirAddressAreReported() {
		new ReplacedAgentWatch(this.blackboard, this.replaced::add);
		members(agent("a1", "10.0.0.1:1", "s1", 1), agent("b1", "10.0.0.2:1", "s2", 1),
				agent("c1", "10.0.0.3:1", "s3", 1));
		members(agent("a2", "10.0.0.9:1", "s1", 2), agent("c2", "10.0.0.3:1", "s4", 2));
		assertEquals(this.replaced, List.of());
		members(agent("a3", "10.0.0.9:1", "s1", 3), agent("b2", "10.0.0.2:1", "s2", 2));
		members(agent("a3", "10.0.0.9:1", "s1", 3));
		assertEquals(this.replaced, List.of("a2", "b1"));
	}

	private void members(Member... members) {
		this.blackboard.write(EntryStateKeys.MEMBERS, new Membership(List.of(members)));
	}

	private static Member agent(String incarnation, String address, String server, long fence) {
		return new Member(incarnation, Member.Role.AGENT, address, "host", "region", "zone", "site", server, fence, 0);
	}

}
