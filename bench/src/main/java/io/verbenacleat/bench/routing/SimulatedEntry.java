package io.verbenacleat.bench.routing;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

import io.verbenacleat.entry.routing.AgentLoads;
import io.verbenacleat.entry.routing.PrefixKey;
import io.verbenacleat.entry.routing.RoutingCandidate;
import io.verbenacleat.entry.routing.RoutingPolicy;

/**
 * Simulates the selection of servers by one entry. The entry tracks loads with the
 * {@code AgentLoads} of the product, and skips servers that failed recently or were
 * removed. Not safe for use by several threads.
 */
final class SimulatedEntry {

	/** The same time as in the selector of the product. */
	private static final long PENALTY_US = 2_000_000;

	/**
	 * An agent whose last report is more recent than this is not polled for its status.
	 */
	private static final long RECENT_REPORT_MS = 2_000;

	private final List<String> servers;

	private final RoutingPolicy policy;

	private final AgentLoads loads = new AgentLoads();

	private final long[] penalizedUntilUs;

	private final BitSet removed = new BitSet();

	private int nextPolled;

	SimulatedEntry(List<String> servers, RoutingPolicy policy, int firstPolled) {
		this.servers = servers;
		this.policy = policy;
		this.penalizedUntilUs = new long[servers.size()];
		this.nextPolled = firstPolled;
	}

	/**
	 * Selects a server for a request and counts the order as in progress there.
	 * @param prompt the prefix key of the prompt
	 * @param nowUs the current time, in microseconds
	 * @return the index of the server
	 */
	int select(PrefixKey prompt, long nowUs) {
		List<RoutingCandidate> candidates = new ArrayList<>(this.servers.size());
		for (int i = 0; i < this.servers.size(); i++) {
			if (this.penalizedUntilUs[i] <= nowUs && !this.removed.get(i)) {
				String server = this.servers.get(i);
				candidates.add(new RoutingCandidate(server, this.loads.load(server)));
			}
		}
		int selected = ServerNames.index(this.policy.select(prompt, candidates).server());
		this.loads.orderStarted(this.servers.get(selected));
		return selected;
	}

	void addReport(int server, int inProgress, long nowUs) {
		this.loads.addReport(this.servers.get(server), inProgress, nowUs / 1_000);
	}

	void orderEnded(int server) {
		this.loads.orderEnded(this.servers.get(server));
	}

	void orderFailed(int server, long nowUs) {
		this.penalizedUntilUs[server] = nowUs + PENALTY_US;
		this.loads.orderEnded(this.servers.get(server));
	}

	void removeServer(int server) {
		this.removed.set(server);
	}

	/**
	 * Returns the servers to poll for their status, which are those without a recent
	 * report, in round-robin order.
	 * @param limit the maximum number of servers
	 * @param nowUs the current time, in microseconds
	 * @return the indexes of the servers
	 */
	List<Integer> serversToPoll(int limit, long nowUs) {
		List<Integer> polled = new ArrayList<>();
		for (int i = 0; i < this.servers.size() && polled.size() < limit; i++) {
			int server = this.nextPolled;
			this.nextPolled = (this.nextPolled + 1) % this.servers.size();
			if (!this.removed.get(server)
					&& !this.loads.hasRecentReport(this.servers.get(server), nowUs / 1_000, RECENT_REPORT_MS)) {
				polled.add(server);
			}
		}
		return polled;
	}

}
