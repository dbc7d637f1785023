package io.verbenacleat.router.peer;

import java.util.Collection;

import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.server.BackendServer;
import org.jspecify.annotations.Nullable;

/**
 * What this router knows of the fleet. Methods are called on the control thread.
 */
public interface FleetView {

	/**
	 * Returns the configuration in force.
	 * @return the configuration, {@code null} before the first one
	 */
	@Nullable
	RoutingTable configuration();

	/**
	 * Returns the registered backend servers.
	 * @return the servers
	 */
	Collection<BackendServer> servers();

	/**
	 * Returns the age of the list of servers.
	 * @return the time since the store confirmed it in milliseconds,
	 * {@link Long#MAX_VALUE} without one
	 */
	long serversAgeMs();

	/**
	 * Takes a configuration of another router.
	 * @param table the configuration
	 */
	void applyConfiguration(RoutingTable table);

	/**
	 * Takes the list of servers of another router.
	 * @param servers the servers
	 * @param ageMs the time since the store confirmed it in milliseconds
	 */
	void applyServers(Collection<BackendServer> servers, long ageMs);

}
