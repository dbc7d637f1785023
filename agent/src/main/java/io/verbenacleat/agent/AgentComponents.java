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
import io.verbenacleat.agent.command.OwnershipCheck;
import io.verbenacleat.agent.command.PermitPolicy;
import io.verbenacleat.agent.drain.DrainSequence;
import io.verbenacleat.agent.drain.DrainState;
import io.verbenacleat.agent.order.ActiveOrder;
import io.verbenacleat.agent.order.AdmissionRules;
import io.verbenacleat.agent.order.AgentGrpcService;
import io.verbenacleat.agent.order.AgentStatus;
import io.verbenacleat.agent.order.OrderExecutor;
import io.verbenacleat.agent.order.OrderLimits;
import io.verbenacleat.agent.order.OrderMetrics;
import io.verbenacleat.agent.order.OrderTable;
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
 * Creates and connects the components of an agent that need neither ports nor the
 * platform at their start. As safe for use by several threads as the components are.
 */
final class AgentComponents implements AutoCloseable {

	private static final int WORKER_IDLE_SECONDS = 30;

	private final DrainState drainState = new DrainState();

	private final BackendCalls backendCalls = new BackendCalls();

	private final Channels channels;

	private final ExecutorService workers;

	private final EngineReconciler reconciler;

	private final ConfigFollower configFollower;

	private final BackendProbe backendProbe;

	private final MemberWatch memberWatch;

	private final ReceiptReporter receiptReporter;

	private final OrderTable orderTable;

	private final OrderExecutor orderExecutor;

	private final AgentGrpcService grpcService;

	private final DrainSequence drainSequence;

	AgentComponents(AgentSettings settings, String incarnation, ControlThread control, TableStore store,
			WeightStore weights, ConfigSource configSource, Channels channels, PrometheusRegistry registry) {
		this.channels = channels;
		this.workers = new ThreadPoolExecutor(0, settings.maxInProgress, WORKER_IDLE_SECONDS, TimeUnit.SECONDS,
				new SynchronousQueue<>(), AgentComponents::newWorkerThread);
		SplittableRandom random = new SplittableRandom();
		PermitPolicy permitPolicy = new FirstCopyPolicy(settings.zone, incarnation, store, control,
				new JitteredRetryPolicy(weights, random.split(), JitteredRetryPolicy.MAX_JITTER), random);
		this.reconciler = new EngineReconciler(control, OwnershipCheck.of(store, settings.server, incarnation),
				permitPolicy, new CommandMetrics(registry));
		this.configFollower = new ConfigFollower(control, configSource, this.backendCalls, settings, this.reconciler);
		this.memberWatch = new MemberWatch(control, store);
		this.backendProbe = new BackendProbe(this.configFollower::url);
		this.receiptReporter = new ReceiptReporter(control, new GrpcSettleClient(channels), store);
		OrderQueue<ActiveOrder> queue = new OrderQueue<>(control.clock(),
				QueueLimits.withoutQueue(settings.maxInProgress), new SplittableRandom());
		this.orderTable = new OrderTable(incarnation, control.clock(), OrderLimits.of(settings.maxInProgress),
				new AgentAdmissionRules(), queue);
		this.orderExecutor = new OrderExecutor(control, this.orderTable, this.receiptReporter,
				this.configFollower::backend, this.workers, new OrderMetrics(registry), settings.server);
		this.configFollower.onServer((server, limits) -> {
			queue.setLimits(QueueLimits.of(server.maxRunning(), settings.maxInProgress, limits));
			this.orderExecutor.startQueued();
		});
		this.grpcService = new AgentGrpcService(control, this.orderTable, this.orderExecutor, this.receiptReporter,
				() -> new AgentStatus(incarnation, settings.server, this.configFollower.version(),
						this.backendProbe.reachable()));
		this.drainSequence = new DrainSequence(control, this.drainState, new AgentPendingWork());
		addGauge(registry, "verbena_agent_receipts_waiting", "Receipts that are not known to be durable",
				this.receiptReporter::waiting);
		addGauge(registry, "verbena_config_version", "Version of the configuration in use, 0 for none",
				this.configFollower::version);
		addGauge(registry, "verbena_agent_draining", "1 while new orders are refused",
				() -> (this.drainState.draining()) ? 1 : 0);
		addGauge(registry, "verbena_agent_backend_reachable", "1 while the backend server takes connections",
				() -> (this.backendProbe.reachable()) ? 1 : 0);
		addGauge(registry, "verbena_agent_superseded",
				"1 when a newer agent of the same backend server exists and no commands are sent",
				() -> (this.reconciler.isSuperseded()) ? 1 : 0);
		addGauge(registry, "verbena_agent_orders_exhausted",
				"1 when the agent must be restarted because it has seen too many processes",
				() -> (this.orderTable.exhausted()) ? 1 : 0);
	}

	DrainState drainState() {
		return this.drainState;
	}

	ConfigFollower configFollower() {
		return this.configFollower;
	}

	MemberWatch memberWatch() {
		return this.memberWatch;
	}

	BackendProbe backendProbe() {
		return this.backendProbe;
	}

	ReceiptReporter receiptReporter() {
		return this.receiptReporter;
	}

	AgentGrpcService grpcService() {
		return this.grpcService;
	}

	DrainSequence drainSequence() {
		return this.drainSequence;
	}

	@Override
	public void close() {
		this.reconciler.close();
		this.receiptReporter.close();
		this.backendProbe.close();
		this.workers.shutdownNow();
		this.channels.close();
		this.backendCalls.close();
	}

	private static void addGauge(PrometheusRegistry registry, String name, String help, LongSupplier value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsLong()))
			.register(registry);
	}

	private static Thread newWorkerThread(Runnable task) {
		Thread thread = new Thread(task, "order-worker");
		thread.setDaemon(true);
		return thread;
	}

	private final class AgentAdmissionRules implements AdmissionRules {

		@Override
		public boolean isMember(String incarnation) {
			return AgentComponents.this.memberWatch.contains(incarnation);
		}

		@Override
		public boolean isDraining() {
			return AgentComponents.this.drainState.draining();
		}

		@Override
		public boolean serves(ExecuteRequest order) {
			return AgentComponents.this.configFollower.serves(order);
		}

		@Override
		public boolean hasReceiptCapacity(int running) {
			return AgentComponents.this.receiptReporter.hasCapacityFor(running);
		}

	}

	private final class AgentPendingWork implements DrainSequence.PendingWork {

		@Override
		public int ordersInProgress() {
			return AgentComponents.this.orderTable.inProgress();
		}

		@Override
		public long lastOrderEndMs() {
			return AgentComponents.this.orderExecutor.lastEndMs();
		}

		@Override
		public int receiptsWaiting() {
			return AgentComponents.this.receiptReporter.waiting();
		}

		@Override
		public int openStreams() {
			return AgentComponents.this.grpcService.openStreams();
		}

	}

}
