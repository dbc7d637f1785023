package io.verbenacleat.standins;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;

import io.verbenacleat.core.platform.HostEntry;
import org.jspecify.annotations.Nullable;

/**
 * The host list of the platform stand-in; a change becomes visible after a lag. Safe for
 * use by several threads.
 */
final class PlatformHosts {

	private final ScheduledExecutorService timers;

	private final long defaultLagMs;

	private volatile List<HostEntry> visibleHosts = List.of();

	/**
	 * Creates an empty list.
	 * @param timers runs delayed changes, in the order in which they were made
	 * @param defaultLagMs the lag of a change that does not give one, in milliseconds
	 */
	PlatformHosts(ScheduledExecutorService timers, long defaultLagMs) {
		this.timers = timers;
		this.defaultLagMs = defaultLagMs;
	}

	/**
	 * Replaces the list.
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
	 * Returns the list as it is shown.
	 * @return the list
	 */
	List<HostEntry> visibleHosts() {
		return this.visibleHosts;
	}

	/**
	 * The body of a change.
	 *
	 * @param hosts the new list
	 * @param lagMs how long it stays hidden, {@code null} for the setting
	 */
	record Change(List<HostEntry> hosts, @Nullable Long lagMs) {

		Change {
			hosts = List.copyOf(hosts);
		}

	}

	/**
	 * The answer of the host list.
	 *
	 * @param hosts the hosts
	 */
	record HostsAnswer(List<HostEntry> hosts) {
	}

}
