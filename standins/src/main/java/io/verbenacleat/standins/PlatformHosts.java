package io.verbenacleat.standins;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;

import io.verbenacleat.core.platform.HostEntry;
import org.jspecify.annotations.Nullable;

/**
 * Host list of the platform stand-in. A change becomes visible after a lag. Safe for use
 * by several threads.
 */
final class PlatformHosts {

	private final ScheduledExecutorService timers;

	private final long defaultLagMs;

	private volatile List<HostEntry> visibleHosts = List.of();

	/**
	 * Creates an empty list.
	 * @param timers the scheduler that makes changes visible; changes with the same lag
	 * become visible in the order in which they were made
	 * @param defaultLagMs the lag of a change without a lag of its own, in milliseconds
	 */
	PlatformHosts(ScheduledExecutorService timers, long defaultLagMs) {
		this.timers = timers;
		this.defaultLagMs = defaultLagMs;
	}

	/**
	 * Replaces the list after the lag.
	 * @param change the new list and its lag
	 */
	void set(Change change) {
		long lag = (change.lagMs() != null) ? change.lagMs() : this.defaultLagMs;
		if (lag <= 0) {
			this.visibleHosts = change.hosts();
			return;
		}
		StandinServer.schedule(this.timers, Duration.ofMillis(lag), () -> this.visibleHosts = change.hosts());
	}

	/**
	 * Returns the list that requests see.
	 * @return the last list whose lag has passed, empty before the first one
	 */
	List<HostEntry> visibleHosts() {
		return this.visibleHosts;
	}

	/**
	 * Body of {@code PUT /standin/hosts}.
	 *
	 * @param hosts the new list
	 * @param lagMs the time until the list becomes visible, in milliseconds; {@code null}
	 * for the default lag
	 */
	record Change(List<HostEntry> hosts, @Nullable Long lagMs) {

		Change {
			hosts = List.copyOf(hosts);
		}

	}

	/**
	 * Answer of {@code GET /v1/hosts}.
	 *
	 * @param hosts the visible hosts
	 */
	record HostsAnswer(List<HostEntry> hosts) {
	}

}
