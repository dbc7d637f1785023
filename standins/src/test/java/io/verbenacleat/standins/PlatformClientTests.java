package io.verbenacleat.standins;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import io.verbenacleat.core.platform.HostEntry;
import io.verbenacleat.core.platform.PlatformClient;
import io.verbenacleat.core.platform.PlatformProtocolException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WeightsOutcome;
import io.verbenacleat.core.platform.WriteOutcome;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests of the platform client against the platform stand-in. Guards against a client
 * that reports a write as applied or as not applied when its outcome is not known.
 */
public class PlatformClientTests {

	private static final Transaction INSERT = Transaction.builder().insert("a", "{}").insert("b", "{}").build();

	private static PlatformClient client(String url, long timeoutMs) {
		return PlatformClient.builder(url).token("token").callTimeout(Duration.ofMillis(timeoutMs)).build();
	}

	private static PlatformStandin platform() {
		PlatformSettings settings = new PlatformSettings();
		settings.platformToken = "token";
		settings.weightsPerMinute = 0;
		return PlatformStandin.start(settings);
	}

	@Test
	public void transactionIsAppliedAtomically() {
		try (PlatformStandin platform = platform(); PlatformClient client = client(platform.url(), 10_000)) {
			assertEquals(client.tables().transact(INSERT).join(), new WriteOutcome.Applied(Map.of("a", 1L, "b", 1L)));
			Transaction conflicting = Transaction.builder().insert("c", "{}").insert("b", "{}").build();
			assertEquals(client.tables().transact(conflicting).join(), new WriteOutcome.Conflict(Map.of("b", 1L)));
			assertEquals(client.tables().read(List.of("c", "a")).join(),
					List.of(Row.absent("c"), new Row("a", 1, "{}")));
			assertEquals(client.tables().scan("", "a", 10).join(), List.of(new Row("b", 1, "{}")));
		}
	}

	@Test
	public void lostAnswerIsUnknownAndReadBackShowsTheWrite() {
		try (PlatformStandin platform = platform();
				PlatformClient shortTimeoutClient = client(platform.url(), 1_000);
				PlatformClient client = client(platform.url(), 10_000)) {
			client.tables().read("a").join();
			platform.faults().loseNextAnswers(1);
			assertTrue(shortTimeoutClient.tables().transact(INSERT).join() instanceof WriteOutcome.Unknown);
			assertEquals(client.tables().read("a").join().version(), 1);
		}
	}

	@Test
	public void refusalsAreNotApplied() {
		String closedUrl;
		try (PlatformStandin platform = platform();
				PlatformClient client = client(platform.url(), 10_000);
				PlatformClient unauthorizedClient = PlatformClient.builder(platform.url()).token("wrong").build()) {
			closedUrl = platform.url();
			platform.faults().setAvailable(false);
			assertTrue(client.tables().transact(INSERT).join() instanceof WriteOutcome.NotApplied);
			assertTrue(unauthorizedClient.tables().transact(INSERT).join() instanceof WriteOutcome.NotApplied refused
					&& refused.cause() instanceof PlatformProtocolException);
			platform.faults().setAvailable(true);
			assertTrue(client.weights().fetch("m").join() instanceof WeightsOutcome.RateLimited);
			assertEquals(client.tables().read("a").join().version(), 0);
		}
		try (PlatformClient client = client(closedUrl, 10_000)) {
			assertTrue(client.tables().transact(INSERT).join() instanceof WriteOutcome.NotApplied);
		}
	}

	@Test
	public void objectsAndHostsAreReadBack() {
		try (PlatformStandin platform = platform(); PlatformClient client = client(platform.url(), 10_000)) {
			client.objects().put("a/b.c", new byte[] { 1, 2 }).join();
			assertEquals(client.objects().get("a/b.c").join().orElseThrow(), new byte[] { 1, 2 });
			assertTrue(client.objects().get("a/x").join().isEmpty());
			assertEquals(client.objects().list("a/", "", 10).join(), List.of("a/b.c"));
			HostEntry host = new HostEntry("127.0.0.1", "zone-a", HostEntry.State.LEAVING);
			platform.setHosts(List.of(host));
			assertEquals(client.hosts().hosts().join(), List.of(host));
		}
	}

	@Test
	public void delayedTransactionIsUnknownAndAppliedAfterwards() {
		try (PlatformStandin platform = platform();
				PlatformClient shortTimeoutClient = client(platform.url(), 1_000);
				PlatformClient client = client(platform.url(), 10_000)) {
			client.tables().read("a").join();
			platform.faults().delayNextTransactions(1, 1_500);
			assertTrue(shortTimeoutClient.tables().transact(INSERT).join() instanceof WriteOutcome.Unknown);
			long deadline = System.nanoTime() + 20_000_000_000L;
			while (!client.tables().read("a").join().exists() && System.nanoTime() < deadline) {
				Thread.onSpinWait();
			}
			assertEquals(client.tables().read("b").join().version(), 1);
		}
	}

}
