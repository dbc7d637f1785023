package io.verbenacleat.itest.office;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.verbenacleat.core.config.ConfigStore;
import io.verbenacleat.core.config.StoredConfig;
import io.verbenacleat.core.config.VersionConflictException;
import io.verbenacleat.core.platform.BlockingTableStore;
import io.verbenacleat.core.platform.PlatformException;
import okhttp3.Request;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against configuration versions that are accepted twice, become visible out of
 * order, or never come into force at an entry or agent. Each version adds a model named
 * after its number, so that the list of models shows the version in force. The time until
 * a version is in force is checked by {@code PropagationTests} of entry and agent.
 */
@SuppressWarnings("NullAway.Init")
public class ConfigHistoryTests {

	private static final int OPERATORS = 4;

	private static final int APPLIES = 12;

	private static final Pattern MARKER = Pattern.compile("marker-([0-9]+)");

	private final Map<Long, String> accepted = new ConcurrentHashMap<>();

	private volatile boolean restarted;

	private OfficeFixture office;

	@BeforeClass
	public void start() throws Exception {
		this.office = OfficeFixture.start(3, 1);
	}

	@AfterClass(alwaysRun = true)
	public void stop() throws Exception {
		this.office.close();
	}

	@Test
	public void versionsAreAcceptedOnceAndSeenInOrder() throws Exception {
		AtomicLong[] highest = { new AtomicLong(), new AtomicLong(), new AtomicLong() };
		try (ParallelTasks readers = new ParallelTasks()) {
			for (int entry = 0; entry < 2; entry++) {
				String url = this.office.url(entry);
				AtomicLong seen = highest[entry];
				readers.repeat((i) -> assertNotLower(seen, version(url)));
			}
			readers.repeat((i) -> readOrRestart(highest[2], i));
			List<Callable<Integer>> operators = new ArrayList<>();
			for (int i = 0; i < OPERATORS; i++) {
				int operator = i;
				operators.add(() -> applyConfigs(operator));
			}
			int conflicts = ParallelTasks.runAll(operators).stream().mapToInt((each) -> each).sum();
			OfficeFixture.await("an entry was restarted", () -> this.restarted);
			System.out.printf("configuration: %d versions accepted, %d conflicts%n", this.accepted.size(), conflicts);
		}
		List<StoredConfig> history = this.office.configs.history(1);
		Set<Long> numbers = new TreeSet<>();
		for (StoredConfig stored : history) {
			assertTrue(numbers.add(stored.number()), "version number stored twice");
			String applyId = this.accepted.get(stored.number());
			assertTrue(applyId == null || applyId.equals(stored.applyId()),
					"another apply was reported as accepted for version " + stored.number());
		}
		assertEquals((long) numbers.size(), history.get(history.size() - 1).number() - 1,
				"a version number is missing");
		assertTrue(numbers.containsAll(this.accepted.keySet()), "an accepted version is not in the history");
	}

	@Test(dependsOnMethods = "versionsAreAcceptedOnceAndSeenInOrder")
	public void eachVersionIsInForceEverywhere() throws Exception {
		List<Long> measuredMs = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			long expected = this.office.configs.current().orElseThrow().number();
			this.office.configs.apply(OfficeConfigFiles.files(this.office.servers, expected + 1), "test", "force-" + i,
					expected);
			long startNanos = System.nanoTime();
			OfficeFixture.await("version " + (expected + 1) + " is in force", () -> inForceEverywhere(expected + 1));
			measuredMs.add(Duration.ofNanos(System.nanoTime() - startNanos).toMillis());
		}
		System.out.println("configuration in force everywhere after ms: " + measuredMs);
	}

	private int applyConfigs(int operator) throws PlatformException {
		FaultyTableStore operatorTables = new FaultyTableStore(this.office.tables, 300 + operator);
		operatorTables.setWriteFaults(0.3, 0.1);
		ConfigStore store = new ConfigStore(new BlockingTableStore(operatorTables, Duration.ofSeconds(2)),
				Clock.systemUTC());
		int conflicts = 0;
		for (int i = 0; i < APPLIES; i++) {
			long expected = store.current().orElseThrow().number();
			String applyId = "operator-" + operator + "-" + i;
			try {
				StoredConfig applied = store.apply(OfficeConfigFiles.files(this.office.servers, expected + 1),
						"operator-" + operator, applyId, expected);
				assertEquals(applied.number(), expected + 1);
				assertEquals(this.accepted.put(applied.number(), applyId), null, "version accepted twice");
			}
			catch (VersionConflictException ex) {
				assertEquals(ex.expectedVersion(), expected);
				assertTrue(ex.currentVersion() > expected, ex.getMessage());
				conflicts++;
			}
		}
		return conflicts;
	}

	private void readOrRestart(AtomicLong highest, int step) {
		int last = this.office.entries.size() - 1;
		if (step == 20) {
			this.office.stop(this.office.entries.get(last));
			try {
				int next = this.office.startEntry();
				OfficeFixture.await("the entry is ready again", () -> this.office.entries.get(next).isReady());
				this.restarted = true;
			}
			catch (Exception ex) {
				throw new IllegalStateException(ex);
			}
		}
		assertNotLower(highest, version(this.office.url(this.office.entries.size() - 1)));
	}

	private static void assertNotLower(AtomicLong highest, long seen) {
		assertTrue(seen >= highest.get(), "version " + seen + " was seen after " + highest);
		highest.set(seen);
	}

	private long version(String url) {
		Reply reply = this.office.caller.send(new Request.Builder().url(url + "/v1/models")
			.header("Authorization", "Bearer " + this.office.key)
			.build());
		assertEquals(reply.status(), 200, reply.toString());
		Matcher marker = MARKER.matcher(reply.body());
		return (marker.find()) ? Long.parseLong(marker.group(1)) : 1;
	}

	private boolean inForceEverywhere(long number) {
		for (int entry = 0; entry < this.office.entries.size(); entry++) {
			if (!this.office.isStopped(entry) && version(this.office.url(entry)) < number) {
				return false;
			}
		}
		for (int i = 0; i < this.office.agents.size(); i++) {
			if (this.office.agentStatus(i).getConfigVersion() < number) {
				return false;
			}
		}
		return true;
	}

}
