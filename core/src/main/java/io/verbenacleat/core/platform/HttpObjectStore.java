package io.verbenacleat.core.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;

import okhttp3.HttpUrl;

/**
 * Accesses the {@link ObjectStore} over HTTP. Created by {@link PlatformClient}. Safe for
 * use by several threads.
 */
public final class HttpObjectStore implements ObjectStore {

	private static final Pattern KEY = Pattern
		.compile("(?!\\.{1,2}(/|$))[A-Za-z0-9._-]+" + "(/(?!\\.{1,2}(/|$))[A-Za-z0-9._-]+)*");

	private final HttpCalls calls;

	HttpObjectStore(HttpCalls calls) {
		this.calls = calls;
	}

	@Override
	public CompletableFuture<Void> put(String key, byte[] bytes) {
		CompletableFuture<Boolean> stored = HttpResponses.convert(this.calls.put(url(key), bytes), (response) -> {
			if (response.status() != 200 && response.status() != 204) {
				throw response.failure();
			}
			return true;
		});
		return stored.thenAccept((done) -> {
		});
	}

	@Override
	public CompletableFuture<Optional<byte[]>> get(String key) {
		return HttpResponses.convert(this.calls.get(url(key)), (response) -> switch (response.status()) {
			case 200 -> Optional.of(response.body());
			case 404 -> Optional.empty();
			default -> throw response.failure();
		});
	}

	@Override
	public CompletableFuture<List<String>> list(String prefix, String after, int limit) {
		HttpUrl url = this.calls.url("v1/objects")
			.addQueryParameter("prefix", prefix)
			.addQueryParameter("after", after)
			.addQueryParameter("limit", Integer.toString(limit))
			.build();
		return HttpResponses.readJson(this.calls.get(url), KeysResponse.class).thenApply(KeysResponse::keys);
	}

	private HttpUrl url(String key) {
		if (!KEY.matcher(key).matches()) {
			throw new IllegalArgumentException("Not a valid object key: " + key);
		}
		return this.calls.url("v1/objects").addPathSegments(key).build();
	}

	/**
	 * The response body of a list request.
	 *
	 * @param keys the keys
	 */
	record KeysResponse(List<String> keys) {

		KeysResponse {
			keys = List.copyOf(keys);
		}

	}

}
