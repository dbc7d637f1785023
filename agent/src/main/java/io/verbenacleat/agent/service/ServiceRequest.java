package io.verbenacleat.agent.service;

import java.util.Locale;
import java.util.Set;

import io.verbenacleat.agent.backend.BackendTarget;
import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.HttpHeader;
import io.verbenacleat.proto.v1.HttpWork;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.jspecify.annotations.Nullable;

/**
 * Creates the HTTP request of an order. Stateless.
 */
final class ServiceRequest {

	private static final Set<String> METHODS_WITH_BODY = Set.of("POST", "PUT", "PATCH");

	private ServiceRequest() {
	}

	/**
	 * Creates the request.
	 * @param order an order for a plain service
	 * @param target the service
	 * @return the request
	 * @throws IllegalArgumentException when the order does not give a valid request
	 */
	static Request of(ExecuteRequest order, BackendTarget target) {
		HttpWork work = order.getHttp();
		checkPath(work.getPathAndQuery());
		Request.Builder builder = new Request.Builder().url(target.url() + work.getPathAndQuery());
		builder.header("Accept-Encoding", "identity");
		for (HttpHeader header : HopByHopHeaders.remove(work.getHeadersList())) {
			if (header.getName().equalsIgnoreCase("accept-encoding")) {
				builder.header(header.getName(), header.getValue());
			}
			else {
				builder.addHeader(header.getName(), header.getValue());
			}
		}
		return builder.header(BackendTarget.FENCING_HEADER, Long.toString(target.fencingToken()))
			.header(BackendTarget.REQUEST_ID_HEADER, order.getRequestId())
			.method(work.getMethod(), body(work))
			.build();
	}

	private static @Nullable RequestBody body(HttpWork work) {
		if (work.getBody().isEmpty() && !METHODS_WITH_BODY.contains(work.getMethod())) {
			return null;
		}
		return RequestBody.create(work.getBody().toByteArray());
	}

	/**
	 * Rejects dot segments, which the HTTP client would resolve to a path that the
	 * gateway has not checked.
	 * @param pathAndQuery the path and query
	 */
	private static void checkPath(String pathAndQuery) {
		String path = pathAndQuery.split("[?#]", 2)[0].toLowerCase(Locale.ROOT).replace("%2e", ".");
		for (String segment : path.split("[/\\\\]", -1)) {
			if (segment.equals(".") || segment.equals("..")) {
				throw new IllegalArgumentException("the path has dot segments");
			}
		}
	}

}
