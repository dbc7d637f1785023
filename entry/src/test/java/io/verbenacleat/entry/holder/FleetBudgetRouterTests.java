package io.verbenacleat.entry.holder;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.control.SingleControlThread;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.Membership;
import io.verbenacleat.core.rpc.Channels;
import io.verbenacleat.entry.EntryStateKeys;
import io.verbenacleat.entry.budget.HolderUnreachableException;
import io.verbenacleat.entry.budget.RoutedReservation;
import io.verbenacleat.proto.v1.HolderGrant;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReserveRefusal;
import io.verbenacleat.proto.v1.ReserveRequest;
import io.verbenacleat.proto.v1.ReserveResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/**
 * Guards against reservations that are requested from the wrong holder, that stay open at
 * a holder which did not respond, or that are refused although another holder has the
 * tokens.
 */
@SuppressWarnings("NullAway.Init")
public class FleetBudgetRouterTests {

	private FakeHolderNetwork network;

	private Channels channels;

	private SingleControlThread control;

	private Blackboard blackboard;

	private List<Member> ranked;

	private FleetBudgetRouter router;

	@BeforeMethod
	public void start() throws IOException {
		this.network = new FakeHolderNetwork();
		this.channels = new Channels(FakeHolderNetwork.SECRET);
		this.control = new SingleControlThread("test");
		this.blackboard = new Blackboard();
		List<Member> entries = List.of(this.network.add("a"), this.network.add("b"), this.network.add("c"));
		this.ranked = HolderRanking.rank("acct", entries);
		this.blackboard.write(EntryStateKeys.MEMBERS, new Membership(entries));
		Member self = new Member("self", Member.Role.ENTRY, "127.0.0.1:1", "127.0.0.1", "r", "z", "s", null, 0, 0);
		this.router = new FleetBudgetRouter(self,
				new RemoteHolder(self.address(), this.channels, Duration.ofSeconds(1)), this.channels, this.blackboard,
				this.control);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.channels.close();
		this.network.close();
		this.control.close();
	}

	@Test
	public void asksOnlyTheHomeHolder() {
		assertTrue(reserve().response().getGranted());
		assertEquals(this.network.reserveCalls, List.of(holder(0)));
	}

	@Test
	public void asksTheNextHolderAndReleasesAtTheUnresponsiveOne() {
		this.network.scripts.put(holder(0), (any) -> CompletableFuture.failedFuture(new IOException("broken")));
		assertTrue(reserve().response().getGranted());
		assertEquals(this.network.reserveCalls, List.of(holder(0), holder(1)));
		await(() -> !this.network.releases.isEmpty());
		assertEquals(this.network.releases.get(0).getHolderIncarnation(), holder(0));
		assertEquals(this.network.releases.get(0).getRequestIdsList(), List.of("req-1"));
	}

	@Test
	public void asksTheHoldersThatARefusalNames() {
		this.network.scripts.put(holder(0), (any) -> refuse(ReserveRefusal.QUOTA_EXHAUSTED, this.ranked.get(2)));
		assertTrue(reserve().response().getGranted());
		assertEquals(this.network.reserveCalls, List.of(holder(0), holder(2)));
	}

	@Test
	public void reportsTheRefusalOfTheHomeHolderWhenAllRefuse() {
		this.network.scripts.put(holder(0), (any) -> refuse(ReserveRefusal.BUDGET_RESERVED, this.ranked.get(1)));
		this.network.scripts.put(holder(1), (any) -> refuse(ReserveRefusal.QUOTA_EXHAUSTED, this.ranked.get(0)));
		assertEquals(reserve().response().getRefusal(), ReserveRefusal.BUDGET_RESERVED);
		assertEquals(this.network.reserveCalls, List.of(holder(0), holder(1)));
	}

	@Test
	public void asksTheNextHomeHolderWhenOneCannotReachTheTableStore() {
		this.network.scripts.put(holder(0), (any) -> refuse(ReserveRefusal.TABLE_UNREACHABLE, this.ranked.get(2)));
		this.network.scripts.put(holder(1), (request) -> (request.getForwarded())
				? refuse(ReserveRefusal.TABLE_UNREACHABLE, this.ranked.get(0)) : FakeHolderNetwork.grant());
		assertTrue(reserve().response().getGranted());
		assertEquals(this.network.reserveCalls, List.of(holder(0), holder(1)));
	}

	@Test
	public void asksAHomeHolderOfAnotherSiteWhenNoneOfThisSiteReachesTheTableStore() throws IOException {
		Member elsewhere = this.network.add("d");
		Member other = new Member(elsewhere.incarnation(), elsewhere.role(), elsewhere.address(), elsewhere.host(), "r",
				"z2", "s2", null, 0, 0);
		List<Member> all = new ArrayList<>(this.ranked);
		all.add(other);
		this.blackboard.write(EntryStateKeys.MEMBERS, new Membership(all));
		this.ranked.forEach((entry) -> this.network.scripts.put(entry.incarnation(),
				(request) -> refuse(ReserveRefusal.TABLE_UNREACHABLE, this.ranked.get(0))));
		assertTrue(reserve().response().getGranted());
		assertEquals(this.network.reserveCalls, List.of(holder(0), holder(1), holder(2), "d"));
	}

	@Test
	public void asksEachHolderOnceWhenNoneCanReachTheTableStore() {
		this.ranked.forEach((entry) -> this.network.scripts.put(entry.incarnation(),
				(request) -> refuse(ReserveRefusal.TABLE_UNREACHABLE, this.ranked.get(0))));
		assertEquals(reserve().response().getRefusal(), ReserveRefusal.TABLE_UNREACHABLE);
		assertEquals(this.network.reserveCalls, List.of(holder(0), holder(1), holder(2)));
	}

	@Test
	public void skipsAHolderThatIsNotOpen() {
		this.network.scripts.put(holder(0), (any) -> refuse(ReserveRefusal.HOLDER_NOT_OPEN, this.ranked.get(0)));
		assertTrue(reserve().response().getGranted());
	}

	@Test
	public void resendsAReceiptUntilItIsAcknowledged() {
		this.network.acknowledges = false;
		Receipt receipt = Receipt.newBuilder().setRequestId("req-1").setHolderIncarnation(holder(0)).build();
		CompletableFuture<Void> settled = this.router.settle(this.ranked.get(0).address(), receipt);
		CompletionException failure = expectThrows(CompletionException.class, settled::join);
		assertTrue(failure.getCause() instanceof HolderUnreachableException, "was " + failure.getCause());
		this.network.acknowledges = true;
		await(() -> this.control.submit(this.router::unacknowledgedCount).join() == 0);
		assertTrue(this.network.settles.size() >= 2);
	}

	@Test
	public void removedMemberMovesOnlyItsOwnAccounts() {
		List<Member> two = this.ranked.subList(0, 2);
		long moved = IntStream.range(0, 1_000)
			.mapToObj((n) -> "acct-" + n)
			.filter((account) -> !home(account, this.ranked).equals(home(account, two)))
			.filter((account) -> !home(account, this.ranked).equals(holder(2)))
			.count();
		assertEquals(moved, 0);
		assertFalse(IntStream.range(0, 100).allMatch((n) -> home("acct-" + n, this.ranked).equals(holder(0))));
	}

	private static String home(String account, List<Member> entries) {
		return HolderRanking.rank(account, entries).get(0).incarnation();
	}

	private String holder(int rank) {
		return this.ranked.get(rank).incarnation();
	}

	private RoutedReservation reserve() {
		return this.router
			.reserve(ReserveRequest.newBuilder().setRequestId("req-1").setAccount("acct").setTokens(5).build())
			.join();
	}

	private static CompletableFuture<ReserveResponse> refuse(ReserveRefusal reason, Member alternative) {
		HolderGrant grant = HolderGrant.newBuilder()
			.setHolderIncarnation(alternative.incarnation())
			.setAddress(alternative.address())
			.setRestTokens(100)
			.build();
		return CompletableFuture
			.completedFuture(ReserveResponse.newBuilder().setRefusal(reason).addAlternatives(grant).build());
	}

	private static void await(BooleanSupplier condition) {
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
		while (!condition.getAsBoolean() && System.nanoTime() < deadline) {
			Thread.onSpinWait();
		}
		assertTrue(condition.getAsBoolean());
	}

}
