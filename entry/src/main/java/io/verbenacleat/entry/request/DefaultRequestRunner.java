package io.verbenacleat.entry.request;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.rpc.Channels;
import io.verbenacleat.entry.budget.BudgetRouter;
import io.verbenacleat.entry.budget.LostAgents;
import io.verbenacleat.entry.claim.ClaimStore;
import io.verbenacleat.entry.dispatch.AgentSelector;
import io.verbenacleat.entry.dispatch.OrderResolver;
import io.verbenacleat.entry.dispatch.OrderSender;
import io.verbenacleat.entry.dispatch.OrderSequences;
import io.verbenacleat.entry.dispatch.RetryBudget;
import io.verbenacleat.entry.dispatch.RunMetrics;
import io.verbenacleat.entry.routing.AgentLoads;
import org.jspecify.annotations.Nullable;

/**
 * Default {@link RequestRunner}, which runs requests with the holders and agents of the
 * fleet. Safe for use by several threads.
 *
 * <pre>{@code
 * RequestRunner runner = DefaultRequestRunner.builder(incarnation, site)
 *     .control(control, blackboard)
 *     .budget(router)
 *     .agents(channels, lostAgents)
 *     .tables(tables)
 *     .registry(registry)
 *     .build();
 * }</pre>
 */
public final class DefaultRequestRunner implements RequestRunner {

	private final String gateway;

	private final RunnerComponents components;

	private DefaultRequestRunner(String gateway, RunnerComponents components) {
		this.gateway = gateway;
		this.components = components;
	}

	/**
	 * Returns a builder.
	 * @param gateway the incarnation of this entry
	 * @param site the site of this entry
	 * @return a new builder
	 */
	public static Builder builder(String gateway, String site) {
		return new Builder(gateway, site);
	}

	@Override
	public RunningRequest run(CallerRequest request, ResponseListener listener) {
		RequestExecution run = new RequestExecution(this.components, request, listener);
		run.start(this.gateway);
		return run;
	}

	/**
	 * Builds a runner. All components except the server loads are required. Not
	 * thread-safe.
	 */
	public static final class Builder {

		private final String gateway;

		private final String site;

		private @Nullable ControlThread control;

		private @Nullable Blackboard blackboard;

		private @Nullable BudgetRouter budget;

		private @Nullable Channels channels;

		private @Nullable LostAgents lostAgents;

		private @Nullable TableStore tables;

		private @Nullable PrometheusRegistry registry;

		private AgentLoads loads = new AgentLoads();

		private Builder(String gateway, String site) {
			this.gateway = gateway;
			this.site = site;
		}

		/**
		 * Sets the control thread and the blackboard.
		 * @param newControl the control thread
		 * @param newBlackboard the blackboard
		 * @return this builder
		 */
		public Builder control(ControlThread newControl, Blackboard newBlackboard) {
			this.control = newControl;
			this.blackboard = newBlackboard;
			return this;
		}

		/**
		 * Sets the router to the budget holders.
		 * @param newBudget the budget router
		 * @return this builder
		 */
		public Builder budget(BudgetRouter newBudget) {
			this.budget = newBudget;
			return this;
		}

		/**
		 * Sets the access to the agents.
		 * @param newChannels the gRPC channels
		 * @param newLostAgents reports which agents are lost
		 * @return this builder
		 */
		public Builder agents(Channels newChannels, LostAgents newLostAgents) {
			this.channels = newChannels;
			this.lostAgents = newLostAgents;
			return this;
		}

		/**
		 * Sets the loads of the agents. By default only the orders of this runner are
		 * counted.
		 * @param newLoads the loads, updated by status calls elsewhere
		 * @return this builder
		 */
		public Builder loads(AgentLoads newLoads) {
			this.loads = newLoads;
			return this;
		}

		/**
		 * Sets the table store for the claims.
		 * @param newTables the table store
		 * @return this builder
		 */
		public Builder tables(TableStore newTables) {
			this.tables = newTables;
			return this;
		}

		/**
		 * Sets the registry for the metrics.
		 * @param newRegistry the registry
		 * @return this builder
		 */
		public Builder registry(PrometheusRegistry newRegistry) {
			this.registry = newRegistry;
			return this;
		}

		/**
		 * Builds the runner.
		 * @return the runner
		 * @throws IllegalStateException if a required component is not set
		 */
		public DefaultRequestRunner build() {
			ControlThread timers = require(this.control, "control");
			Blackboard board = require(this.blackboard, "blackboard");
			Channels agents = require(this.channels, "agents");
			RunMetrics metrics = new RunMetrics(require(this.registry, "registry"));
			RunnerComponents components = new RunnerComponents(board, timers, require(this.budget, "budget"),
					new AgentSelector(this.site, board, timers.clock(), this.loads), new OrderSequences(this.gateway),
					new OrderSender(agents),
					new OrderResolver(agents, timers, require(this.lostAgents, "lostAgents"), metrics),
					new RetryBudget(timers.clock(), metrics), new ShareLimiter(),
					new ClaimStore(require(this.tables, "tables"), timers, metrics), metrics);
			return new DefaultRequestRunner(this.gateway, components);
		}

		private static <T> T require(@Nullable T component, String name) {
			if (component == null) {
				throw new IllegalStateException("The component " + name + " is not set");
			}
			return component;
		}

	}

}
