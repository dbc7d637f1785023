package io.verbenacleat.router.peer;

import java.util.List;

import io.verbenacleat.router.config.CallerLimits;
import io.verbenacleat.router.config.Route;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.config.Service;
import io.verbenacleat.router.config.Workspace;
import io.verbenacleat.router.server.BackendServer;
import org.jspecify.annotations.Nullable;

/**
 * What one router tells another of the fleet. Immutable.
 *
 * @param config the configuration, {@code null} when the other router has it or a newer
 * one
 * @param servers the registered backend servers, {@code null} when the list of the other
 * router is as new
 * @param serversAgeMs how long ago that list was confirmed by the store, in milliseconds
 * @param peers the addresses of routers
 */
public record FleetSnapshot(@Nullable Config config, @Nullable List<BackendServer> servers, long serversAgeMs,
		List<String> peers) {

	/**
	 * Asks for a snapshot.
	 *
	 * @param configVersion the version that the router has, -1 without one
	 * @param serversAgeMs the age of its list of servers in milliseconds,
	 * {@link Long#MAX_VALUE} without one
	 * @param peerAddress where it listens for other routers
	 */
	record Request(long configVersion, long serversAgeMs, String peerAddress) {
	}

	/**
	 * One version of the configuration.
	 *
	 * @param version the version
	 * @param routes the routes
	 * @param services the services
	 * @param workspaces the workspaces
	 * @param limits what callers may send
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
