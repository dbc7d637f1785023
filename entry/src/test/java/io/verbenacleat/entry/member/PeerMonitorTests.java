package io.verbenacleat.entry.member;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.Membership;
import io.verbenacleat.core.platform.HostEntry;
import io.verbenacleat.core.platform.PlatformUnavailableException;
import io.verbenacleat.entry.EntryStateKeys;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against failed entries that no entry closes, against several entries that close
 * the same one at once, and against the close of live entries, after a pause of the
 * monitor itself or during a partition between sites.
 */
@SuppressWarnings("NullAway.Init")
public class PeerMonitorTests {

	private ManualControlThread control;

	private Blackboard blackboard;

	private Set<String> silent;

	private List<HostEntry> hosts;

	private List<String> closed;

	@BeforeMethod
	public void start() {
		this.control = new ManualControlThread(Instant.EPOCH);
		this.blackboard = new Blackboard();
		this.silent = new HashSet<>();
		this.hosts = new ArrayList<>();
		this.closed = new ArrayList<>();
		List<Member> members = List.of(entry("a1", "austin"), entry("a2", "austin"), entry("a3", "austin"),
				entry("b1", "benguet"));
		members.forEach((member) -> this.hosts.add(new HostEntry(member.host(), "zone", HostEntry.State.LIVE)));
		this.blackboard.write(EntryStateKeys.MEMBERS, new Membership(members));
	}

	@Test
	public void theNearestPredecessorClosesASilentEntryFirst() {
		monitor("a1", "austin");
		monitor("a2", "austin");
		this.control.advance(Duration.ofSeconds(5));
		this.silent.add("a3");
		this.control.advance(Duration.ofSeconds(9));
		assertEquals(this.closed, List.of());
		this.control.advance(Duration.ofSeconds(4));
		assertEquals(this.closed, List.of("a2 closes a3"));
		this.control.advance(Duration.ofSeconds(4));
		assertEquals(this.closed, List.of("a2 closes a3", "a1 closes a3"));
	}

	@Test
	public void anAnswerOfALaterIncarnationDoesNotPreventTheClose() {
		monitor("a1", "austin");
		this.silent.add("restarted a2");
		this.control.advance(Duration.ofSeconds(12));
		assertEquals(this.closed, List.of("a1 closes a2"));
	}

	@Test
	public void anEntryOfAnotherSiteIsClosedOnlyAfterItsHostWasRemoved() {
		monitor("a3", "austin");
		this.silent.add("b1");
		this.control.advance(Duration.ofMinutes(5));
		assertEquals(this.closed, List.of());
		this.hosts.removeIf((host) -> host.host().equals("host-b1"));
		this.control.advance(Duration.ofSeconds(75));
		assertEquals(this.closed.get(0), "a3 closes b1");
	}

	@Test
	public void aPauseOfTheMonitorClosesNoPeer() {
		monitor("a1", "austin");
		this.control.advance(Duration.ofSeconds(5));
		this.control.pause(Duration.ofMinutes(1));
		this.control.advance(Duration.ofSeconds(5));
		assertEquals(this.closed, List.of());
	}

	@Test
	public void onlyOneEntryIsFirstInTheRing() {
		assertTrue(monitor("a1", "austin").isFirstInRing());
		assertFalse(monitor("a2", "austin").isFirstInRing());
		assertFalse(monitor("unknown", "austin").isFirstInRing());
	}

	private PeerMonitor monitor(String incarnation, String site) {
		HostWatch watch = new HostWatch(() -> CompletableFuture.completedFuture(List.copyOf(this.hosts)), this.control);
		return new PeerMonitor(entry(incarnation, site), this.control, this.blackboard, this::probe, watch,
				(peer) -> this.closed.add(incarnation + " closes " + peer), new PrometheusRegistry());
	}

	private CompletableFuture<String> probe(Member peer) {
		if (this.silent.contains("restarted " + peer.incarnation())) {
			return CompletableFuture.completedFuture("restarted");
		}
		return (this.silent.contains(peer.incarnation()))
				? CompletableFuture.failedFuture(new PlatformUnavailableException("no response", null))
				: CompletableFuture.completedFuture(peer.incarnation());
	}

	private static Member entry(String incarnation, String site) {
		return new Member(incarnation, Member.Role.ENTRY, incarnation + ":1", "host-" + incarnation, "region", "zone",
				site, null, 0, 0);
	}

}
