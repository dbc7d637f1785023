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

	private final long lagMs;

	private volatile List<HostEntry> visible = List.of();

	/**
	 * Creates an empty list.
	 * @param timers runs delayed changes, in the order in which they were made
	 * @param lagMs the lag of a change that does not give one, in milliseconds
	 */
	PlatformHosts(ScheduledExecutorService timers, long lagMs) {
		this.timers = timers;
		this.lagMs = lagMs;
	}

	/**
	 * Replaces the list.
	 * @param change the new list and its lag
	 */
	void set(Change change) {
		long lag = (change.lagMs() != null) ? change.lagMs() : this.lagMs;
		if (lag <= 0) {
			this.visible = change.hosts();
			return;
		}
		StandinServer.after(this.timers, Duration.ofMillis(lag), () -> this.visible = change.hosts());
	}

	/**
	 * Returns the list as it is shown.
	 * @return the list
	 */
	List<HostEntry> visible() {
		return this.visible;
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
