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
 * Detects hosts that the platform has removed from its host list. The list lags, so a
 * host counts as removed only after it was missing from several consecutive reads. Hosts
 * that were never listed do not count as removed. {@link #isRemoved} is safe for use by
 * several threads; the rest is confined to the control thread.
 */
public final class HostWatch {

	private static final Duration INTERVAL = Duration.ofSeconds(10);

	/** Consecutive reads without the host; one minute at the read interval. */
	private static final int MISSED_READS_UNTIL_REMOVED = 6;

	private final HostList hostList;

	private final ControlThread control;

	private final Map<String, Integer> missedReads = new HashMap<>();

	private final Set<String> removedHosts = ConcurrentHashMap.newKeySet();

	/**
	 * Creates a watch and starts to read the host list.
	 * @param hostList the host list
	 * @param control the control thread
	 */
	public HostWatch(HostList hostList, ControlThread control) {
		this.hostList = hostList;
		this.control = control;
		control.scheduleWithFixedDelay(INTERVAL, this::read);
	}

	/**
	 * Returns whether the platform has removed a host.
	 * @param host the IP number of the host
	 * @return {@code true} if the host was listed before and is not listed any more
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
