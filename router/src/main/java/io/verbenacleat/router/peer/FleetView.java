package io.verbenacleat.router.peer;

import java.util.Collection;
import java.util.List;

import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.quarantine.CrashReport;
import io.verbenacleat.router.server.BackendServer;
import io.verbenacleat.router.server.EvacuationState;
import org.jspecify.annotations.Nullable;

/**
 * This router's state of the fleet, which is refreshed from other routers while the store
 * is unreachable. Methods are called on the control thread.
 */
public interface FleetView {

	/**
	 * Returns the current configuration.
	 * @return the configuration, {@code null} before the first one
	 */
	@Nullable
	RoutingTable configuration();

	/**
	 * Returns the registered backend servers.
	 * @return the servers, never {@code null}
	 */
	Collection<BackendServer> servers();

	/**
	 * Returns the age of the list of servers.
	 * @return the time in milliseconds since the store confirmed the list,
	 * {@link Long#MAX_VALUE} without one
	 */
	long serversAgeMs();

	/**
	 * Returns what is known of the evacuated zones.
	 * @return the state, empty before the first one
	 */
	EvacuationState evacuations();

	/**
	 * Returns the age of what the store said of the evacuated zones.
	 * @return the time in milliseconds since the store confirmed them to this router,
	 * {@link Long#MAX_VALUE} if it never did
	 */
	long evacuationsAgeMs();

	/**
	 * Adds what another router knows of the evacuated zones.
	 * @param received the state of the other router
	 * @param peer its address
	 */
	void applyEvacuations(EvacuationState received, String peer);

	/**
	 * Returns the crash reports of this router.
	 * @return the reports
	 */
	List<CrashReport> crashReports();

	/**
	 * Adds crash reports received from another router.
	 * @param reports the reports
	 */
	void applyCrashReports(List<CrashReport> reports);

	/**
	 * Applies a configuration received from another router.
	 * @param configuration the configuration
	 */
	void applyConfiguration(RoutingTable configuration);

	/**
	 * Replaces the list of servers with one received from another router.
	 * @param servers the servers
	 * @param ageMs the time in milliseconds since the store confirmed the list
	 */
	void applyServers(Collection<BackendServer> servers, long ageMs);

}
