package io.verbenacleat.router.peer;

import java.util.List;

import io.verbenacleat.router.config.CallerLimits;
import io.verbenacleat.router.config.Route;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.config.Service;
import io.verbenacleat.router.config.Workspace;
import io.verbenacleat.router.quarantine.CrashReport;
import io.verbenacleat.router.server.BackendServer;
import io.verbenacleat.router.server.EvacuationState;
import org.jspecify.annotations.Nullable;

/**
 * The state of the fleet as one router sends it to another. Immutable.
 *
 * @param config the configuration, {@code null} if the other router has this or a newer
 * one
 * @param servers the registered backend servers, {@code null} if the list of the other
 * router is at least as recent
 * @param serversAgeMs the time since the store confirmed that list, in milliseconds
 * @param peers the peer addresses of routers
 * @param crashReports the reports on prompt parts that may crash servers, {@code null} in
 * snapshots of older routers
 * @param evacuations what the router knows of the evacuated zones, {@code null} if
 * nothing and in snapshots of older routers
 */
public record FleetSnapshot(@Nullable Config config, @Nullable List<BackendServer> servers, long serversAgeMs,
		List<String> peers, @Nullable List<CrashReport> crashReports, @Nullable EvacuationState evacuations) {

	/**
	 * Returns the form in which a state is sent.
	 * @param known the state of a router
	 * @return the state, {@code null} if nothing is known
	 */
	static @Nullable EvacuationState toMessage(EvacuationState known) {
		return known.unknown() ? null : known;
	}

	/**
	 * A request for a snapshot.
	 *
	 * @param configVersion the version of the configuration that the requesting router
	 * has, -1 without one
	 * @param serversAgeMs the age of its list of servers in milliseconds,
	 * {@link Long#MAX_VALUE} without one
	 * @param peerAddress its address for calls of other routers
	 * @param evacuations what it knows of the evacuated zones, {@code null} if nothing
	 * and in requests of older routers
	 * @param evacuationsOnly whether it asks only for the evacuated zones
	 */
	record Request(long configVersion, long serversAgeMs, String peerAddress, @Nullable EvacuationState evacuations,
			boolean evacuationsOnly) {

		/**
		 * Creates a request for the evacuated zones. Older routers, which know nothing of
		 * them, have no newer configuration or servers for it.
		 * @param peerAddress the address of the requesting router
		 * @param known what it knows
		 * @return the request
		 */
		static Request ofEvacuations(String peerAddress, EvacuationState known) {
			return new Request(Long.MAX_VALUE, 0, peerAddress, toMessage(known), true);
		}

	}

	/**
	 * One version of the configuration.
	 *
	 * @param version the version
	 * @param routes the routes
	 * @param services the services
	 * @param workspaces the workspaces
	 * @param limits the limits on callers' requests
	 */
	public record Config(long version, List<Route> routes, List<Service> services, List<Workspace> workspaces,
			CallerLimits limits) {

		static Config of(RoutingTable table) {
			return new Config(table.version(), table.routes(), List.copyOf(table.services()),
					List.copyOf(table.workspaces()), table.limits());
		}

		RoutingTable toTable() {
			return new RoutingTable(this.version, this.routes, this.services, this.workspaces, this.limits);
		}

	}

}
