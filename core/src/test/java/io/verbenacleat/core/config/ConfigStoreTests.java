package io.verbenacleat.core.config;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import io.verbenacleat.core.head.Head;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.platform.BlockingTableStore;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.core.platform.PlatformException;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/**
 * Guards against versions that are accepted twice, lost, or read out of order when
 * operators apply configurations concurrently and answers of the table store are lost.
 */
public class ConfigStoreTests {

	private static final int WRITERS = 6;

	private static final int APPLIES = 20;

	private final InMemoryTableStore table = new InMemoryTableStore();

	private final BlockingTableStore blocking = new BlockingTableStore(this.table, Duration.ofSeconds(10));

	private final ConfigFiles files = ConfigTexts.files(ConfigTexts.BASE);

	@Test
	public void concurrentAppliesAcceptEachVersionOnce() throws Exception {
		ExecutorService threads = Executors.newFixedThreadPool(WRITERS + 1);
		try {
			List<Future<Map<Long, String>>> writers = new ArrayList<>();
			for (int writer = 0; writer < WRITERS; writer++) {
				String author = "author-" + writer;
				writers.add(threads.submit(() -> applyMany(author)));
			}
			Future<Boolean> reader = threads.submit((Callable<Boolean>) () -> readUntilLast());
			Map<Long, String> accepted = new TreeMap<>();
			for (Future<Map<Long, String>> writer : writers) {
				writer.get().forEach((number, applyId) -> assertNull(accepted.put(number, applyId)));
			}
			assertTrue(reader.get());
			Map<Long, String> history = new TreeMap<>();
			store().history(0).forEach((stored) -> history.put(stored.number(), stored.applyId()));
			assertEquals(history, accepted);
			assertEquals(history.size(), WRITERS * APPLIES);
			Head head = Json.read(this.blocking.read(Head.KEY).json(), Head.class);
			assertEquals(head.version(Head.CONFIG), WRITERS * APPLIES);
		}
		finally {
			threads.shutdownNow();
		}
	}

	private Map<Long, String> applyMany(String author) throws PlatformException {
		Map<Long, String> accepted = new TreeMap<>();
		while (accepted.size() < APPLIES) {
			long current = store().current().map(StoredConfig::number).orElse(0L);
			String applyId = author + "-" + current;
			this.table.loseNextAnswers((int) (current % 3));
			try {
				accepted.put(store().apply(this.files, author, applyId, current).number(), applyId);
			}
			catch (VersionConflictException ex) {
				assertEquals(ex.expectedVersion(), current);
				assertTrue(ex.currentVersion() > current);
			}
		}
		return accepted;
	}

	private boolean readUntilLast() throws PlatformException {
		long last = 0;
		while (last < (long) WRITERS * APPLIES && !Thread.currentThread().isInterrupted()) {
			long number = store().current().map(StoredConfig::number).orElse(0L);
			if (number < last) {
				return false;
			}
			last = number;
		}
		return true;
	}

	@Test
	public void conflictNamesBothVersions() throws Exception {
		InMemoryTableStore own = new InMemoryTableStore();
		ConfigStore store = new ConfigStore(new BlockingTableStore(own, Duration.ofSeconds(1)), Clock.systemUTC());
		own.loseNextAnswers(1);
		assertEquals(store.apply(this.files, "a", "first", 0).number(), 1);
		VersionConflictException ex = expectThrows(VersionConflictException.class,
				() -> store.apply(this.files, "b", "second", 5));
		assertEquals(ex.getMessage(), "Expected version 5 of the configuration, but version 1 is current");
		assertEquals(ConfigStore.readCurrent(own).get().applyId(), "first");
		assertEquals(store.history(0).size(), 1);
		assertEquals(store.history(1).size(), 0);
	}

	private ConfigStore store() {
		return new ConfigStore(this.blocking, Clock.systemUTC());
	}

}
