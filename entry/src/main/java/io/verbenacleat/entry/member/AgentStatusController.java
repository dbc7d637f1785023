package io.verbenacleat.entry.member;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.Membership;
import io.verbenacleat.core.rpc.Channels;
import io.verbenacleat.core.rpc.RpcFutures;
import io.verbenacleat.entry.EntryStateKeys;
import io.verbenacleat.entry.routing.AgentLoads;
import io.verbenacleat.proto.v1.AgentServiceGrpc;
import io.verbenacleat.proto.v1.GetStatusRequest;
import io.verbenacleat.proto.v1.GetStatusResponse;
import org.jspecify.annotations.Nullable;

/**
 * Updates {@link EntryStateKeys#AGENT_STATUS} by polling the agents. Agents of other
 * sites are polled less often, since a full-size fleet has hundreds of them. Confined to
 * the control thread.
 */
public final class AgentStatusController implements AutoCloseable {

	private static final Duration ROUND_INTERVAL = Duration.ofSeconds(2);

	private static final int ROUNDS_PER_OTHER_SITE_POLL = 5;

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

	private final ControlThread control;

	private final Blackboard blackboard;

	private final Channels channels;

	private final String site;

	private final AgentLoads loads;

	private final Map<String, GetStatusResponse> statuses = new HashMap<>();

	private long round;

	/**
	 * Creates a controller and starts to poll.
	 * @param control the control thread
	 * @param blackboard the blackboard to update
	 * @param channels the gRPC channels to the processes of the fleet
	 * @param site the site of this entry, whose agents are polled in every round
	 * @param loads receives the reported loads
	 */
	public AgentStatusController(ControlThread control, Blackboard blackboard, Channels channels, String site,
			AgentLoads loads) {
		this.control = control;
		this.blackboard = blackboard;
		this.channels = channels;
		this.site = site;
		this.loads = loads;
		control.scheduleWithFixedDelay(ROUND_INTERVAL, this::pollRound);
		blackboard.onChange(EntryStateKeys.MEMBERS, this::onMembersChanged);
	}

	@Override
	public void close() {
		this.statuses.clear();
	}

	private void onMembersChanged(Membership members) {
		this.statuses.keySet().removeIf((incarnation) -> members.find(incarnation).isEmpty());
		this.loads.retainAll(members.agents().stream().map(Member::incarnation).collect(Collectors.toSet()));
		members.agents()
			.stream()
			.filter((agent) -> !this.statuses.containsKey(agent.incarnation()))
			.forEach(this::poll);
	}

	private void pollRound() {
		Membership members = this.blackboard.read(EntryStateKeys.MEMBERS);
		if (members == null) {
			return;
		}
		boolean includeOtherSites = this.round % ROUNDS_PER_OTHER_SITE_POLL == 0;
		this.round++;
		members.agents()
			.stream()
			.filter((agent) -> includeOtherSites || agent.site().equals(this.site))
			.forEach(this::poll);
	}

	private void poll(Member agent) {
		var call = AgentServiceGrpc.newFutureStub(this.channels.get(agent.address()))
			.withDeadlineAfter(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
			.getStatus(GetStatusRequest.getDefaultInstance());
		RpcFutures.of(call).whenCompleteAsync((status, failure) -> onStatus(agent, status), this.control);
	}

	private void onStatus(Member agent, @Nullable GetStatusResponse status) {
		if (status == null) {
			this.statuses.remove(agent.incarnation());
		}
		else if (status.getIncarnation().equals(agent.incarnation())) {
			this.statuses.put(agent.incarnation(), status);
			this.loads.addReport(agent.incarnation(), status.getInProgress(), this.control.clock().millis());
		}
		publish();
	}

	private void publish() {
		this.blackboard.write(EntryStateKeys.AGENT_STATUS, Map.copyOf(this.statuses));
	}

}
