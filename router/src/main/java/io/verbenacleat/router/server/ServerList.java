package io.verbenacleat.router.server;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A snapshot of the registered backend servers. Immutable.
 */
public final class ServerList {

	private static final ServerList EMPTY = new ServerList(List.of(), Set.of());

	private final Map<String, List<BackendServer>> usable = new HashMap<>();

	private final Set<BackendServer> all;

	/** The ids of all servers in evacuated zones. */
	private final Set<String> evacuatedIds = new HashSet<>();

	/** The services with servers that are left out because of their zone. */
	private final Set<String> reducedServices = new HashSet<>();

	private ServerList(Collection<BackendServer> servers, Set<String> evacuatedZones) {
		this.all = Collections.unmodifiableSet(new HashSet<>(servers));
		for (BackendServer server : servers) {
			boolean evacuated = evacuatedZones.contains(server.zone());
			if (evacuated) {
				this.evacuatedIds.add(server.id());
			}
			if (server.draining()) {
				continue;
			}
			if (evacuated) {
				this.reducedServices.add(server.service());
			}
			else {
				this.usable.computeIfAbsent(server.service(), (any) -> new ArrayList<>()).add(server);
			}
		}
	}

	/**
	 * Returns an empty list.
	 * @return the list without servers
	 */
	public static ServerList empty() {
		return EMPTY;
	}

	/**
	 * Creates a list.
	 * @param servers all registered servers, including draining ones
	 * @return the list
	 */
	public static ServerList of(Collection<BackendServer> servers) {
		return new ServerList(servers, Set.of());
	}

	/**
	 * Returns the same servers, of which those in given availability zones must not
	 * receive requests.
	 * @param zones the names of the evacuated zones
	 * @return the list
	 */
	public ServerList withEvacuated(Set<String> zones) {
		return new ServerList(this.all, zones);
	}

	/**
	 * Returns the servers of a service that may receive new requests.
	 * @param service the name of the service
	 * @return an unmodifiable list without draining servers and those in evacuated zones
	 */
	public List<BackendServer> usable(String service) {
		return Collections.unmodifiableList(this.usable.getOrDefault(service, List.of()));
	}

	/**
	 * Returns all registered servers.
	 * @return an unmodifiable set that includes draining servers and those in evacuated
	 * zones
	 */
	public Set<BackendServer> all() {
		return this.all;
	}

	/**
	 * Returns whether a server is in an evacuated zone and must not be sent anything.
	 * @param server any registration of the server
	 * @return {@code true} if its zone is evacuated
	 */
	public boolean isEvacuated(BackendServer server) {
		return this.evacuatedIds.contains(server.id());
	}

	/**
	 * Returns whether servers of a service are left out because their zone is evacuated.
	 * @param service the name of the service
	 * @return {@code true} if there is such a server, not counting draining ones
	 */
	public boolean isReduced(String service) {
		return this.reducedServices.contains(service);
	}

}
