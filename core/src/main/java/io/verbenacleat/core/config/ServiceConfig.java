package io.verbenacleat.core.config;

import java.util.List;

/**
 * A plain HTTP service, to which requests of callers are forwarded. Immutable.
 *
 * @param name the name of the service
 * @param pathPrefix the path under which callers reach the service, such as
 * {@code /bookings}
 * @param routes the methods and paths that callers may use; the first match applies
 */
public record ServiceConfig(String name, String pathPrefix, List<RouteConfig> routes) {

	/**
	 * Creates a service with a copy of the list.
	 */
	public ServiceConfig {
		routes = List.copyOf(routes);
	}

	/**
	 * A method and path of a service. Immutable.
	 *
	 * @param name the name of the route
	 * @param method the HTTP method
	 * @param path the pattern of the whole path; {@code *} matches one segment and a
	 * final {@code **} any number of segments
	 * @param repeatable whether a request may be executed more than once
	 * @param priceTokens the tokens billed for each request, 0 or more
	 */
	public record RouteConfig(String name, String method, String path, boolean repeatable, long priceTokens) {
	}

}
