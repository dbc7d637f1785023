package io.verbenacleat.entry.member;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.config.ConfigFiles;
import io.verbenacleat.core.config.ConfigStore;
import io.verbenacleat.core.config.ConfigText;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.head.HeadPoller;
import io.verbenacleat.core.platform.BlockingTableStore;
import io.verbenacleat.core.platform.DelayedTableStore;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.entry.EntryStateKeys;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against entries that apply a new configuration too late or revert to an older
 * one. The time is that of the manual control thread.
 */
public class PropagationTests {

	/** Requirement R8: a new version must be in force within this time. */
	private static final Duration MAX_PROPAGATION_TIME = Duration.ofSeconds(3);

	private static final Duration ANSWER_DELAY = Duration.ofMillis(800);

	private ManualControlThread control = new ManualControlThread(Instant.EPOCH);

	private ConfigStore configs = new ConfigStore(
			new BlockingTableStore(new InMemoryTableStore(), Duration.ofSeconds(1)), Clock.systemUTC());

	private DelayedTableStore delayedTables = new DelayedTableStore(new InMemoryTableStore(), this.control,
			ANSWER_DELAY);

	private Blackboard blackboard = new Blackboard();

	@BeforeMethod
	public void startEntry() throws Exception {
		InMemoryTableStore tables = new InMemoryTableStore();
		this.control = new ManualControlThread(Instant.EPOCH);
		this.delayedTables = new DelayedTableStore(tables, this.control, ANSWER_DELAY);
		this.blackboard = new Blackboard();
		this.configs = new ConfigStore(new BlockingTableStore(tables, Duration.ofSeconds(1)), Clock.systemUTC());
		HeadPoller poller = new HeadPoller(this.delayedTables, this.control, HeadPoller.ENTRY_INTERVAL);
		new ConfigController(this.delayedTables, this.control, this.blackboard, poller, "austin",
				new PrometheusRegistry());
		poller.start();
	}

	@Test
	public void eachVersionIsInForceWithinTheBound() throws Exception {
		for (int i = 0; i < 20; i++) {
			this.control.advance(Duration.ofMillis(50L * i));
			apply(i);
			this.control.advance(MAX_PROPAGATION_TIME);
			assertEquals(versionInForce(), i + 1);
		}
	}

	/**
	 * Without the version check in {@link ConfigController}, the delayed response would
	 * put version 1 in force again.
	 */
	@Test
	public void aDelayedAnswerDoesNotRestoreAnOlderVersion() throws Exception {
		apply(0);
		// The poll at 1 s finds version 1, and the read of it takes 10 s.
		this.control.advance(Duration.ofMillis(1_700));
		this.delayedTables.setDelay(Duration.ofSeconds(10));
		this.control.advance(Duration.ofMillis(200));
		this.delayedTables.setDelay(Duration.ofMillis(100));
		apply(1);
		this.control.advance(MAX_PROPAGATION_TIME);
		assertEquals(versionInForce(), 2);
		this.control.advance(Duration.ofSeconds(10));
		assertEquals(versionInForce(), 2);
	}

	private void apply(long expected) throws Exception {
		String base = """
				office: pans
				region: south-texas
				sites:
				  - {name: austin, zone: tx-1}
				models:
				  - {name: quotes, maxAnswerTokens: 4096}
				servers:
				  - {name: engine-1, kind: model-engine, url: 'http://127.0.0.1:1', site: austin, models: [quotes]}
				""";
		this.configs.apply(new ConfigFiles(new ConfigText("base.yaml", base), Map.of()), "test", "apply-" + expected,
				expected);
	}

	private long versionInForce() {
		OfficeConfig config = this.blackboard.read(EntryStateKeys.CONFIG);
		return (config != null) ? config.version() : 0;
	}

}
