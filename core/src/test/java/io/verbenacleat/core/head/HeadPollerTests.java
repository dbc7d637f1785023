package io.verbenacleat.core.head;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.core.platform.PlatformUnavailableException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against readers that miss a change, read unchanged topics, or return to an older
 * version.
 */
public class HeadPollerTests {

	private static final Duration INTERVAL = Duration.ofSeconds(1);

	private ManualControlThread control = new ManualControlThread(Instant.EPOCH);

	private InMemoryTableStore store = new InMemoryTableStore();

	private final List<String> readTopics = new ArrayList<>();

	@BeforeMethod
	public void reset() {
		this.control = new ManualControlThread(Instant.EPOCH);
		this.store = new InMemoryTableStore();
		this.readTopics.clear();
	}

	@Test
	public void readsOnlyTopicsWithNewVersion() {
		HeadPoller poller = poller(this.store, CompletableFuture.completedFuture(null));
		writeHead(Map.of("config", 1L));
		this.control.advance(INTERVAL.multipliedBy(3));
		writeHead(Map.of("config", 1L, "callers", 1L));
		this.control.advance(INTERVAL.multipliedBy(3));
		assertEquals(this.readTopics, List.of("config", "callers"));
		poller.close();
	}

	@Test
	public void readsAgainAfterFailedRead() {
		HeadPoller poller = poller(this.store,
				CompletableFuture.failedFuture(new PlatformUnavailableException("The store is unavailable", null)));
		writeHead(Map.of("config", 1L));
		this.control.advance(INTERVAL.multipliedBy(2));
		assertEquals(this.readTopics, List.of("config", "config"));
		poller.close();
	}

	@Test
	public void ignoresLowerVersion() {
		HeadPoller poller = poller(this.store, CompletableFuture.completedFuture(null));
		writeHead(Map.of("config", 5L));
		this.control.advance(INTERVAL);
		writeHead(Map.of("config", 4L));
		this.control.advance(INTERVAL);
		assertEquals(this.readTopics, List.of("config"));
		poller.close();
	}

	@Test
	public void resumesAfterOutage() {
		HeadPoller poller = poller(this.store, CompletableFuture.completedFuture(null));
		writeHead(Map.of("config", 1L));
		this.store.setAvailable(false);
		this.control.advance(INTERVAL.multipliedBy(5));
		this.store.setAvailable(true);
		this.control.advance(INTERVAL);
		assertEquals(this.readTopics, List.of("config"));
		poller.close();
	}

	private HeadPoller poller(TableStore tableStore, CompletableFuture<?> answer) {
		HeadPoller poller = new HeadPoller(tableStore, this.control, INTERVAL);
		poller.onTopic("c", (topic) -> {
			this.readTopics.add(topic);
			return answer;
		});
		poller.start();
		this.control.runPending();
		return poller;
	}

	private void writeHead(Map<String, Long> topics) {
		Row row = this.store.read(Head.KEY).join();
		this.store.transact(Transaction.builder().putIf(Head.KEY, row.version(), Json.write(new Head(topics))).build())
			.join();
	}

}
