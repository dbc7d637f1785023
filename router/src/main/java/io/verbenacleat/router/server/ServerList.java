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

	private static final ServerList EMPTY = new ServerList(List.of());

	private final Map<String, List<BackendServer>> usable = new HashMap<>();

	private final Set<BackendServer> all;

	private ServerList(Collection<BackendServer> servers) {
		this.all = Collections.unmodifiableSet(new HashSet<>(servers));
		for (BackendServer server : servers) {
			if (!server.draining()) {
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
		return new ServerList(servers);
	}

	/**
	 * Returns the servers of a service that may receive new requests.
	 * @param service the name of the service
	 * @return an unmodifiable list without draining servers
	 */
	public List<BackendServer> usable(String service) {
		return Collections.unmodifiableList(this.usable.getOrDefault(service, List.of()));
	}

	/**
	 * Returns all registered servers.
	 * @return an unmodifiable set that includes draining servers
	 */
	public Set<BackendServer> all() {
		return this.all;
	}

}
