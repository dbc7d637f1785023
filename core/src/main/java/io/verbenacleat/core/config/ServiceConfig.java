package io.verbenacleat.core.config;

import java.util.List;

/**
 * A plain service that requests are passed through to. Immutable.
 *
 * @param name the name
 * @param pathPrefix the path under which callers reach it, such as {@code /bookings}
 * @param routes the methods and paths that callers may use, first match wins
 */
public record ServiceConfig(String name, String pathPrefix, List<RouteConfig> routes) {

	/**
	 * Creates a service from a copy of the list.
	 */
	public ServiceConfig {
		routes = List.copyOf(routes);
	}

	/**
	 * One method and path. Immutable.
	 *
	 * @param name the name of the route
	 * @param method the HTTP method
	 * @param path the whole path, where {@code *} stands for one segment and a final
	 * {@code **} for any number
	 * @param repeatable whether a request may run more than once
	 * @param priceTokens tokens billed for each request
	 */
	public record RouteConfig(String name, String method, String path, boolean repeatable, long priceTokens) {
	}

}
