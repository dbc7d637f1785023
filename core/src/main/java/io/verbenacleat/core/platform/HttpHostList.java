package io.verbenacleat.core.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Reads the {@link HostList} over HTTP. Created by {@link PlatformClient}. Safe for use
 * by several threads.
 */
public final class HttpHostList implements HostList {

	private final HttpCalls calls;

	HttpHostList(HttpCalls calls) {
		this.calls = calls;
	}

	@Override
	public CompletableFuture<List<HostEntry>> hosts() {
		return HttpResponses.readJson(this.calls.get(this.calls.url("v1/hosts").build()), HostsResponse.class)
			.thenApply(HostsResponse::hosts);
	}

	/**
	 * The response body of the host list.
	 *
	 * @param hosts the hosts
	 */
	record HostsResponse(List<HostEntry> hosts) {

		HostsResponse {
			hosts = List.copyOf(hosts);
		}

	}

}
