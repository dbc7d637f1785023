package io.verbenacleat.agent.receipt;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.SettleRequest;
import io.verbenacleat.proto.v1.SettleResponse;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against receipts that are lost before they are durable, or kept for ever.
 */
public class ReceiptReporterTests implements SettleClient {

	private ManualControlThread control = new ManualControlThread(Instant.EPOCH);

	private InMemoryTableStore store = new InMemoryTableStore();

	private final List<SettleRequest> requests = new ArrayList<>();

	private int releases;

	private CompletableFuture<SettleResponse> answer = new CompletableFuture<>();

	private ReceiptReporter reporter = new ReceiptReporter(this.control, this, this.store);

	@BeforeMethod
	public void reset() {
		this.control = new ManualControlThread(Instant.EPOCH);
		this.store = new InMemoryTableStore();
		this.requests.clear();
		this.releases = 0;
		this.reporter = new ReceiptReporter(this.control, this, this.store);
		this.reporter.start();
	}

	@Test
	public void repeatsUntilDurable() {
		answer(SettleResponse.newBuilder());
		add("r1");
		add("r2");
		this.control.advance(Duration.ofSeconds(3));
		assertEquals(this.requests.size(), 3);
		answer(SettleResponse.newBuilder().addDurableRequestIds("r1"));
		this.control.advance(Duration.ofSeconds(1));
		assertEquals(this.reporter.waitingFor("h").size(), 1);
		answer(SettleResponse.newBuilder().addDurableRequestIds("r2"));
		this.control.advance(Duration.ofSeconds(1));
		assertEquals(this.reporter.waiting(), 0);
		this.control.advance(Duration.ofSeconds(10));
		assertEquals(this.requests.size(), 5);
	}

	@Test
	public void backsOffWhileTheHolderIsSilent() {
		this.answer = CompletableFuture.failedFuture(new IllegalStateException("unreachable"));
		add("r1");
		this.control.advance(Duration.ofSeconds(60));
		assertTrue(this.requests.size() <= 8, "sent " + this.requests.size() + " reports");
		assertEquals(this.reporter.waiting(), 1);
		answer(SettleResponse.newBuilder().addDurableRequestIds("r1"));
		this.control.advance(Duration.ofSeconds(31));
		assertEquals(this.reporter.waiting(), 0);
	}

	@Test
	public void keepsReceiptsOfAClosedHolderUntilItsFinalRow() {
		answer(SettleResponse.newBuilder().setHolderClosed(true));
		add("r1");
		this.control.advance(Duration.ofMinutes(5));
		assertEquals(this.requests.size(), 1);
		assertEquals(this.reporter.waitingFor("h").size(), 1);
		JournalRow last = new JournalRow(List.of(), Map.of(), Map.of());
		this.store.transact(Transaction.builder().insert(JournalRow.finalKey("h"), Json.write(last)).build());
		this.control.advance(Duration.ofSeconds(15));
		assertEquals(this.reporter.waiting(), 0);
	}

	@Test
	public void dropsReceiptsOfAHolderThatStoppedWithoutAFinalRow() {
		this.answer = CompletableFuture.failedFuture(new IllegalStateException("unreachable"));
		add("r1");
		writeProcess(ProcessRow.State.CLOSING);
		this.control.advance(Duration.ofMinutes(1));
		assertEquals(this.reporter.waiting(), 1);
		writeProcess(ProcessRow.State.CLOSED);
		this.control.advance(Duration.ofSeconds(15));
		assertEquals(this.reporter.waiting(), 0);
		assertEquals(this.releases, 1);
	}

	@Test
	public void releasesTheConnectionToAnIdleHolder() {
		answer(SettleResponse.newBuilder().addDurableRequestIds("r1"));
		add("r1");
		this.control.advance(Duration.ofMinutes(4));
		assertEquals(this.releases, 0);
		this.control.advance(Duration.ofMinutes(2));
		assertEquals(this.releases, 1);
	}

	@Test
	public void hasNoRoomBeyondTheBound() {
		this.answer = new CompletableFuture<>();
		for (int i = 0; i < ReceiptReporter.MAX_WAITING - 1; i++) {
			add("r" + i);
		}
		assertTrue(this.reporter.hasCapacityFor(0));
		assertFalse(this.reporter.hasCapacityFor(1));
	}

	@Override
	public CompletableFuture<SettleResponse> settle(String address, SettleRequest request) {
		this.requests.add(request);
		return this.answer;
	}

	@Override
	public void release(String address) {
		assertEquals(address, "127.0.0.1:1");
		this.releases++;
	}

	private void writeProcess(ProcessRow.State state) {
		Member member = new Member("h", Member.Role.ENTRY, "127.0.0.1:1", "127.0.0.1", "r", "z", "s", null, 0, 0);
		String key = ProcessRow.key("h");
		this.store.transact(Transaction.builder()
			.putIf(key, this.store.read(key).join().version(), Json.write(new ProcessRow(member, state, null)))
			.build());
	}

	private void answer(SettleResponse.Builder response) {
		this.answer = CompletableFuture.completedFuture(response.build());
	}

	private void add(String requestId) {
		Receipt receipt = Receipt.newBuilder().setRequestId(requestId).setHolderIncarnation("h").build();
		this.reporter.add(receipt, "127.0.0.1:1");
	}

}
