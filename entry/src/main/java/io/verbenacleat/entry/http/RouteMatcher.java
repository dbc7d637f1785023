package io.verbenacleat.entry.http;

import java.util.Locale;
import java.util.Optional;

import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.config.ServiceConfig;
import io.verbenacleat.core.config.ServiceConfig.RouteConfig;
import io.verbenacleat.entry.request.RefusalCode;

/**
 * Finds the route of a plain service for a method and a path. Paths that a backend server
 * could interpret differently are refused. Stateless.
 */
final class RouteMatcher {

	private static final String ANY_SEGMENT = "*";

	private static final String ANY_REST = "**";

	private RouteMatcher() {
	}

	/**
	 * Finds the route of a request.
	 * @param config the configuration in force
	 * @param method the HTTP method
	 * @param path the path as sent by the caller
	 * @return the service and the route
	 * @throws RequestRejectedException if no route matches or the path is ambiguous
	 */
	static Match find(OfficeConfig config, String method, String path) throws RequestRejectedException {
		if (isAmbiguous(path)) {
			throw new RequestRejectedException(RefusalCode.INVALID_REQUEST,
					"The path must not hold '//', '\\', dot segments or encoded '/', '\\', '.'");
		}
		for (ServiceConfig service : config.services()) {
			if (path.equals(service.pathPrefix()) || path.startsWith(service.pathPrefix() + "/")) {
				Optional<RouteConfig> route = service.routes()
					.stream()
					.filter((candidate) -> candidate.method().equalsIgnoreCase(method)
							&& matches(candidate.path(), path))
					.findFirst();
				if (route.isPresent()) {
					return new Match(service, route.get());
				}
			}
		}
		throw new RequestRejectedException(RefusalCode.ROUTE_NOT_FOUND, "No service offers this method and path");
	}

	private static boolean isAmbiguous(String path) {
		String lower = path.toLowerCase(Locale.ROOT);
		return lower.contains("//") || lower.contains("\\") || lower.contains("%2f") || lower.contains("%5c")
				|| lower.contains("%2e") || lower.contains("/./") || lower.contains("/../") || lower.endsWith("/.")
				|| lower.endsWith("/..") || lower.contains(";");
	}

	private static boolean matches(String pattern, String path) {
		String[] patternSegments = pattern.split("/", -1);
		String[] pathSegments = path.split("/", -1);
		for (int i = 0; i < patternSegments.length; i++) {
			if (patternSegments[i].equals(ANY_REST)) {
				return true;
			}
			if (i >= pathSegments.length
					|| !(patternSegments[i].equals(ANY_SEGMENT) || patternSegments[i].equals(pathSegments[i]))) {
				return false;
			}
		}
		return patternSegments.length == pathSegments.length;
	}

	/**
	 * A service and one of its routes.
	 *
	 * @param service the service
	 * @param route the route
	 */
	record Match(ServiceConfig service, RouteConfig route) {
	}

}
