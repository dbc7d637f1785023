package io.verbenacleat.agent;

import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.agent.backend.BackendCalls;
import io.verbenacleat.agent.backend.BackendProbe;
import io.verbenacleat.agent.command.CommandMetrics;
import io.verbenacleat.agent.command.EngineReconciler;
import io.verbenacleat.agent.command.FirstCopyPolicy;
import io.verbenacleat.agent.command.JitteredRetryPolicy;
import io.verbenacleat.agent.command.Ownership;
import io.verbenacleat.agent.command.PermitPolicy;
import io.verbenacleat.agent.drain.DrainSequence;
import io.verbenacleat.agent.drain.DrainState;
import io.verbenacleat.agent.order.AdmissionRules;
import io.verbenacleat.agent.order.AgentGrpcService;
import io.verbenacleat.agent.order.AgentStatus;
import io.verbenacleat.agent.order.OrderExecutor;
import io.verbenacleat.agent.order.OrderLimits;
import io.verbenacleat.agent.order.OrderMetrics;
import io.verbenacleat.agent.order.OrderTable;
import io.verbenacleat.agent.order.RunningOrder;
import io.verbenacleat.agent.queue.OrderQueue;
import io.verbenacleat.agent.queue.QueueLimits;
import io.verbenacleat.agent.receipt.GrpcSettleClient;
import io.verbenacleat.agent.receipt.ReceiptReporter;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.WeightStore;
import io.verbenacleat.core.rpc.Channels;
import io.verbenacleat.proto.v1.ExecuteRequest;

/**
 * The parts of an agent that need neither ports nor the platform at their start, wired
 * together. Safe for use by several threads as far as the parts are.
 */
final class AgentParts implements AutoCloseable {

	private static final int WORKER_IDLE_SECONDS = 30;

	private final DrainState drain = new DrainState();

	private final BackendCalls calls = new BackendCalls();

	private final Channels channels;

	private final ExecutorService workers;

	private final EngineReconciler reconciler;

	private final ConfigFollower config;

	private final BackendProbe probe;

	private final MemberWatch members;

	private final ReceiptReporter receipts;

	private final OrderTable table;

	private final OrderExecutor executor;

	private final AgentGrpcService service;

	private final DrainSequence sequence;

	AgentParts(AgentSettings settings, String incarnation, ControlThread control, TableStore store, WeightStore weights,
			ConfigSource configSource, Channels channels, PrometheusRegistry registry) {
		this.channels = channels;
		this.workers = new ThreadPoolExecutor(0, settings.maxInProgress, WORKER_IDLE_SECONDS, TimeUnit.SECONDS,
				new SynchronousQueue<>(), AgentParts::worker);
		SplittableRandom random = new SplittableRandom();
		PermitPolicy permits = new FirstCopyPolicy(settings.zone, incarnation, store, control,
				new JitteredRetryPolicy(weights, random.split(), JitteredRetryPolicy.MAX_JITTER), random);
		this.reconciler = new EngineReconciler(control, Ownership.of(store, settings.server, incarnation), permits,
				new CommandMetrics(registry));
		this.config = new ConfigFollower(control, configSource, this.calls, settings, this.reconciler);
		this.members = new MemberWatch(control, store);
		this.probe = new BackendProbe(this.config::url);
		this.receipts = new ReceiptReporter(control, new GrpcSettleClient(channels), store);
		OrderQueue<RunningOrder> queue = new OrderQueue<>(control.clock(),
				QueueLimits.withoutQueue(settings.maxInProgress), new SplittableRandom());
		this.table = new OrderTable(incarnation, control.clock(), OrderLimits.of(settings.maxInProgress), new Rules(),
				queue);
		this.executor = new OrderExecutor(control, this.table, this.receipts, this.config::backend, this.workers,
				new OrderMetrics(registry), settings.server);
		this.config.onServer((server, limits) -> {
			queue.setLimits(QueueLimits.of(server.maxRunning(), settings.maxInProgress, limits));
			this.executor.startWaiting();
		});
		this.service = new AgentGrpcService(control, this.table, this.executor, this.receipts,
				() -> new AgentStatus(incarnation, settings.server, this.config.version(), this.probe.reachable()));
		this.sequence = new DrainSequence(control, this.drain, new OpenWork());
		addGauge(registry, "verbena_agent_receipts_waiting", "Receipts that are not known to be durable",
				this.receipts::waiting);
		addGauge(registry, "verbena_config_version", "Version of the configuration in use, 0 for none",
				this.config::version);
		addGauge(registry, "verbena_agent_draining", "1 while new orders are refused",
				() -> (this.drain.draining()) ? 1 : 0);
		addGauge(registry, "verbena_agent_backend_reachable", "1 while the backend server takes connections",
				() -> (this.probe.reachable()) ? 1 : 0);
		addGauge(registry, "verbena_agent_superseded",
				"1 when a newer agent of the same backend server exists and no commands are sent",
				() -> (this.reconciler.isSuperseded()) ? 1 : 0);
		addGauge(registry, "verbena_agent_orders_exhausted",
				"1 when the agent must be restarted because it has seen too many processes",
				() -> (this.table.exhausted()) ? 1 : 0);
	}

	DrainState drain() {
		return this.drain;
	}

	ConfigFollower config() {
		return this.config;
	}

	MemberWatch members() {
		return this.members;
	}

	BackendProbe probe() {
		return this.probe;
	}

	ReceiptReporter receipts() {
		return this.receipts;
	}

	AgentGrpcService service() {
		return this.service;
	}

	DrainSequence sequence() {
		return this.sequence;
	}

	@Override
	public void close() {
		this.reconciler.close();
		this.receipts.close();
		this.probe.close();
		this.workers.shutdownNow();
		this.channels.close();
		this.calls.close();
	}

	private static void addGauge(PrometheusRegistry registry, String name, String help, LongSupplier value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsLong()))
			.register(registry);
	}

	private static Thread worker(Runnable task) {
		Thread thread = new Thread(task, "order-worker");
		thread.setDaemon(true);
		return thread;
	}

	private final class Rules implements AdmissionRules {

		@Override
		public boolean isMember(String incarnation) {
			return AgentParts.this.members.contains(incarnation);
		}

		@Override
		public boolean draining() {
			return AgentParts.this.drain.draining();
		}

		@Override
		public boolean serves(ExecuteRequest order) {
			return AgentParts.this.config.serves(order);
		}

		@Override
		public boolean roomForReceipts(int running) {
			return AgentParts.this.receipts.roomFor(running);
		}

	}

	private final class OpenWork implements DrainSequence.Work {

		@Override
		public int ordersInProgress() {
			return AgentParts.this.table.inProgress();
		}

		@Override
		public long lastOrderEndMs() {
			return AgentParts.this.executor.lastEndMs();
		}

		@Override
		public int receiptsWaiting() {
			return AgentParts.this.receipts.waiting();
		}

		@Override
		public int openStreams() {
			return AgentParts.this.service.openStreams();
		}

	}

}
