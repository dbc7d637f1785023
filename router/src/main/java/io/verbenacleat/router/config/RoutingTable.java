package io.verbenacleat.router.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

/**
 * One version of the configuration, indexed for the lookups of the request path.
 * Immutable.
 */
public final class RoutingTable {

	private final long version;

	private final Map<String, List<Route>> routesByHost = new HashMap<>();

	private final Map<String, Service> services = new HashMap<>();

	private final Map<String, Workspace> workspaces = new HashMap<>();

	private final Map<String, Workspace> workspacesByKey = new HashMap<>();

	private final CallerLimits limits;

	/**
	 * Creates a table.
	 * @param version the version, which increases with each configuration
	 * @param routes the routes
	 * @param services the services
	 * @param workspaces the workspaces; if empty, requests need no key
	 * @param limits the limits for requests of callers
	 */
	public RoutingTable(long version, Collection<Route> routes, Collection<Service> services,
			Collection<Workspace> workspaces, CallerLimits limits) {
		this.version = version;
		this.limits = limits;
		for (Route route : routes) {
			this.routesByHost.computeIfAbsent(hostName(route.host()), (any) -> new ArrayList<>()).add(route);
		}
		Comparator<Route> longestFirst = Comparator.comparingInt((Route route) -> route.pathPrefix().length())
			.reversed();
		this.routesByHost.values().forEach((list) -> list.sort(longestFirst));
		services.forEach((service) -> this.services.put(service.name(), service));
		for (Workspace workspace : workspaces) {
			this.workspaces.put(workspace.name(), workspace);
			workspace.keys().forEach((key) -> this.workspacesByKey.put(key, workspace));
		}
	}

	/**
	 * Returns the version.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the limits for requests of callers.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Finds the route with the longest path prefix that matches a request.
	 * @param hostHeader the value of the host header, with or without a port
	 * @param target the request target, which consists of path and query
	 * @return the route, empty when none matches
	 */
	public Optional<Route> findRoute(String hostHeader, String target) {
		int queryStart = target.indexOf('?');
		String path = (queryStart >= 0) ? target.substring(0, queryStart) : target;
		for (Route route : this.routesByHost.getOrDefault(hostName(hostHeader), List.of())) {
			if (path.startsWith(route.pathPrefix())) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns a service.
	 * @param name the name of the service
	 * @return the service, {@code null} when there is none with that name
	 */
	public @Nullable Service service(String name) {
		return this.services.get(name);
	}

	/**
	 * Returns whether requests require a key on routes that are not anonymous.
	 * @return {@code true} if there is at least one workspace
	 */
	public boolean requiresKeys() {
		return !this.workspaces.isEmpty();
	}

	/**
	 * Finds the workspace that a key belongs to.
	 * @param key the key of a caller
	 * @return the workspace, {@code null} when the key is unknown
	 */
	public @Nullable Workspace findWorkspaceByKey(String key) {
		return this.workspacesByKey.get(key);
	}

	/**
	 * Returns all workspaces.
	 * @return the workspaces
	 */
	public Collection<Workspace> workspaces() {
		return this.workspaces.values();
	}

	/**
	 * Returns a workspace.
	 * @param name the name of the workspace
	 * @return the workspace, {@code null} when there is none with that name
	 */
	public @Nullable Workspace workspace(String name) {
		return this.workspaces.get(name);
	}

	/**
	 * Returns all routes.
	 * @return the routes
	 */
	public List<Route> routes() {
		return this.routesByHost.values().stream().flatMap(List::stream).toList();
	}

	/**
	 * Returns all services.
	 * @return the services
	 */
	public Collection<Service> services() {
		return this.services.values();
	}

	private static String hostName(String hostHeader) {
		int colon = hostHeader.lastIndexOf(':');
		String name = (colon > hostHeader.lastIndexOf(']')) ? hostHeader.substring(0, colon) : hostHeader;
		return name.toLowerCase(Locale.ROOT);
	}

}
