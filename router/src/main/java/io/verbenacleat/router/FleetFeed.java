package io.verbenacleat.router;

import java.util.Map;

import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.server.BackendServer;
import org.jspecify.annotations.Nullable;

/**
 * Follows the configuration and the registrations of backend servers.
 */
public interface FleetFeed extends AutoCloseable {

	/**
	 * Starts to follow.
	 * @param listener is called on the control thread
	 */
	void start(Listener listener);

	@Override
	void close();

	/**
	 * Takes what the feed reads. All methods are called on the control thread.
	 */
	interface Listener {

		/**
		 * The registry has answered: what was read of the servers is up to date, also
		 * when no other method is called.
		 */
		void onRegistryResponse();

		/**
		 * A configuration was read; it may be an earlier one or the same again.
		 * @param table the configuration
		 */
		void onConfiguration(RoutingTable table);

		/**
		 * All registrations were read.
		 * @param servers the servers by id
		 * @param afterOutage whether the registry was away before
		 */
		void onServers(Map<String, BackendServer> servers, boolean afterOutage);

		/**
		 * One registration has changed.
		 * @param id the id of the server
		 * @param server the server, {@code null} when it is gone
		 * @param afterOutage whether the registry was away shortly before
		 */
		void onServerChange(String id, @Nullable BackendServer server, boolean afterOutage);

	}

}
