package io.verbenacleat.entry.member;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.platform.HostEntry;
import io.verbenacleat.core.platform.HostList;

/**
 * Watches the host list of the platform for hosts that were listed and are listed no
 * more. The list lags, so a host counts as gone only after it was missing from several
 * reads in a row. {@link #isRemoved} may be called from any thread.
 */
public final class HostWatch {

	private static final Duration INTERVAL = Duration.ofSeconds(10);

	/** Reads in a row without the host: one minute with reads at each interval. */
	private static final int MISSED_READS_UNTIL_REMOVED = 6;

	private final HostList hostList;

	private final ControlThread control;

	private final Map<String, Integer> missedReads = new HashMap<>();

	private final Set<String> removedHosts = ConcurrentHashMap.newKeySet();

	/**
	 * Creates a watch and starts it.
	 * @param hostList the host list
	 * @param control the control thread
	 */
	public HostWatch(HostList hostList, ControlThread control) {
		this.hostList = hostList;
		this.control = control;
		control.scheduleWithFixedDelay(INTERVAL, this::read);
	}

	/**
	 * Returns whether a host was taken away by the platform.
	 * @param host the IP number
	 * @return {@code true} when it was listed and is gone
	 */
	public boolean isRemoved(String host) {
		return this.removedHosts.contains(host);
	}

	private void read() {
		this.hostList.hosts().whenCompleteAsync((hosts, failure) -> {
			if (hosts != null) {
				update(hosts);
			}
		}, this.control);
	}

	private void update(List<HostEntry> hosts) {
		Set<String> listed = hosts.stream().map(HostEntry::host).collect(Collectors.toSet());
		listed.forEach((host) -> this.missedReads.put(host, 0));
		this.missedReads.replaceAll((host, missed) -> (listed.contains(host)) ? 0 : missed + 1);
		this.removedHosts.removeAll(listed);
		this.missedReads.forEach((host, missed) -> {
			if (missed >= MISSED_READS_UNTIL_REMOVED) {
				this.removedHosts.add(host);
			}
		});
	}

}
