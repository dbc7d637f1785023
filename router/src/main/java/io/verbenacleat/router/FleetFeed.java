package io.verbenacleat.router;

import java.util.Map;

import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.server.BackendServer;
import io.verbenacleat.router.server.EvacuationState;
import org.jspecify.annotations.Nullable;

/**
 * Watches the configuration and the registrations of backend servers in the registry.
 * Implementations call their listener on the control thread.
 */
public interface FleetFeed extends AutoCloseable {

	/**
	 * Starts watching. Must be called on the control thread.
	 * @param listener receives the updates on the control thread
	 */
	void start(Listener listener);

	/**
	 * Asks the registry for changes at once instead of waiting for its next response.
	 * Must be called on the control thread, after the start.
	 */
	void recheckServers();

	@Override
	void close();

	/**
	 * Receives the updates of a feed. All methods are called on the control thread.
	 */
	interface Listener {

		/**
		 * Called when the registry has responded about the servers, also if nothing has
		 * changed. Called before the changes of the response.
		 * @param outageEnded whether the response is the first one after an outage of the
		 * registry
		 */
		void onRegistryResponse(boolean outageEnded);

		/**
		 * Called after the changes of a response about the servers. The registrations are
		 * then up to date.
		 */
		void onServersConfirmed();

		/**
		 * Called when a configuration was read, which may be an earlier one or the
		 * current one.
		 * @param table the configuration
		 */
		void onConfiguration(RoutingTable table);

		/**
		 * Called when the registry has responded about the evacuated zones, also if
		 * nothing has changed. Called before a configuration of the same response.
		 * @param state the rows of all zones in the current era, and the version up to
		 * which the registry was read
		 */
		void onEvacuations(EvacuationState state);

		/**
		 * Called when all registrations were read.
		 * @param servers the servers by id
		 * @param afterOutage whether an outage of the registry has just ended
		 * @param restored whether the registry came back from an older copy
		 */
		void onServers(Map<String, BackendServer> servers, boolean afterOutage, boolean restored);

		/**
		 * Called when one registration has changed.
		 * @param id the id of the server
		 * @param server the server, {@code null} when its registration was removed
		 * @param afterOutage whether an outage of the registry has just ended
		 */
		void onServerChange(String id, @Nullable BackendServer server, boolean afterOutage);

		/**
		 * Called when a registration was read that cannot be used, also before the other
		 * registrations of a full read.
		 * @param id the id of the server
		 * @param afterOutage whether an outage of the registry has just ended
		 */
		void onUnusableRegistration(String id, boolean afterOutage);

	}

}
