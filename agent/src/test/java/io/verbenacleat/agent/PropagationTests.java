package io.verbenacleat.agent;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.agent.backend.BackendCalls;
import io.verbenacleat.agent.command.CommandMetrics;
import io.verbenacleat.agent.command.EngineReconciler;
import io.verbenacleat.agent.command.JitteredRetryPolicy;
import io.verbenacleat.agent.drain.DrainState;
import io.verbenacleat.agent.drain.DrainWatch;
import io.verbenacleat.core.config.ConfigException;
import io.verbenacleat.core.config.ConfigFiles;
import io.verbenacleat.core.config.ConfigLoader;
import io.verbenacleat.core.config.ConfigText;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.core.head.Head;
import io.verbenacleat.core.head.HeadPoller;
import io.verbenacleat.core.member.DrainAdmin;
import io.verbenacleat.core.platform.BlockingTableStore;
import io.verbenacleat.core.platform.DelayedTableStore;
import io.verbenacleat.core.platform.HostEntry;
import io.verbenacleat.core.platform.InMemoryTableStore;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against agents that accept new orders for too long after a drain was requested,
 * and against agents that return to an older configuration. Uses the virtual time of the
 * manual control thread.
 */
public class PropagationTests {

	/** The longest delay that requirements R6 and R8 allow. */
	private static final Duration MAX_DELAY = Duration.ofSeconds(3);

	private static final Duration ANSWER_DELAY = Duration.ofMillis(400);

	private final ManualControlThread control = new ManualControlThread(Instant.EPOCH);

	@Test
	public void drainsInTimeAfterAChangeOfTheDrainRow() throws Exception {
		InMemoryTableStore tables = new InMemoryTableStore();
		DelayedTableStore delayedTables = new DelayedTableStore(tables, this.control, ANSWER_DELAY);
		DrainAdmin drains = new DrainAdmin(new BlockingTableStore(tables, Duration.ofSeconds(1)), Clock.systemUTC());
		DrainState state = new DrainState();
		DrainWatch watch = new DrainWatch(this.control, delayedTables,
				() -> CompletableFuture.completedFuture(List.of()), state, "engine-1", "127.0.0.1");
		HeadPoller poller = new HeadPoller(delayedTables, this.control, HeadPoller.AGENT_INTERVAL);
		poller.onTopic(Head.DRAIN, (topic) -> watch.readDrainRow());
		poller.start();
		for (int i = 0; i < 20; i++) {
			this.control.advance(Duration.ofMillis(100L * i));
			drains.setDraining("engine-1", true, "test");
			this.control.advance(MAX_DELAY);
			assertTrue(state.draining(), "round " + i);
			drains.setDraining("engine-1", false, "test");
			this.control.advance(MAX_DELAY);
			assertFalse(state.draining(), "round " + i);
		}
	}

	@Test
	public void drainsInTimeAfterAChangeOfTheHostList() {
		List<HostEntry> hosts = new ArrayList<>();
		DrainState state = new DrainState();
		DrainWatch watch = new DrainWatch(this.control, new InMemoryTableStore(),
				() -> completeLater(List.copyOf(hosts)), state, "engine-1", "127.0.0.1");
		watch.start();
		for (int i = 0; i < 20; i++) {
			this.control.advance(Duration.ofMillis(100L * i));
			hosts.add(new HostEntry("127.0.0.1", "tx-1", HostEntry.State.LEAVING));
			this.control.advance(MAX_DELAY);
			assertTrue(state.draining(), "round " + i);
			hosts.clear();
			this.control.advance(MAX_DELAY);
			assertFalse(state.draining(), "round " + i);
		}
	}

	/**
	 * Without the version check in {@link ConfigFollower}, the late answer would put
	 * version 1 into use again.
	 */
	@Test
	public void lateAnswerDoesNotRestoreAnOlderVersion() throws Exception {
		AgentSettings settings = new AgentSettings();
		settings.server = "engine-1";
		List<CompletableFuture<OfficeConfig>> answers = new ArrayList<>();
		EngineReconciler reconciler = new EngineReconciler(this.control, () -> CompletableFuture.completedFuture(false),
				new JitteredRetryPolicy((name) -> new CompletableFuture<>(), new SplittableRandom(1), Duration.ZERO),
				new CommandMetrics(new PrometheusRegistry()));
		try (BackendCalls calls = new BackendCalls()) {
			ConfigFollower follower = new ConfigFollower(this.control, () -> {
				answers.add(new CompletableFuture<>());
				return answers.get(answers.size() - 1);
			}, calls, settings, reconciler);
			follower.read();
			follower.read();
			answers.get(1).complete(config(2));
			this.control.runPending();
			answers.get(0).complete(config(1));
			this.control.runPending();
			assertEquals(follower.version(), 2);
		}
	}

	private CompletableFuture<List<HostEntry>> completeLater(List<HostEntry> hosts) {
		CompletableFuture<List<HostEntry>> answer = new CompletableFuture<>();
		this.control.schedule(ANSWER_DELAY, () -> answer.complete(hosts));
		return answer;
	}

	private static OfficeConfig config(long version) throws ConfigException {
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
		return new ConfigLoader().load(version, new ConfigFiles(new ConfigText("base.yaml", base), Map.of()), "austin");
	}

}
