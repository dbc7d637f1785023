package io.verbenacleat.core.platform;

import java.util.concurrent.CompletableFuture;

import okhttp3.HttpUrl;

/**
 * Accesses the {@link WeightStore} over HTTP. Created by {@link PlatformClient}. Safe for
 * use by several threads.
 */
public final class HttpWeightStore implements WeightStore {

	private static final long DEFAULT_RETRY_AFTER_MS = 1_000;

	private final HttpCalls calls;

	HttpWeightStore(HttpCalls calls) {
		this.calls = calls;
	}

	@Override
	public CompletableFuture<WeightsOutcome> fetch(String model) {
		HttpUrl url = this.calls.url("v1/weights").addPathSegment(model).build();
		return HttpResponses.convert(this.calls.get(url), HttpWeightStore::outcome);
	}

	private static WeightsOutcome outcome(HttpCalls.BufferedResponse response) throws PlatformException {
		return switch (response.status()) {
			case 200 -> new WeightsOutcome.Found(response.json(WeightsMetadata.class));
			case 404 -> new WeightsOutcome.Absent();
			case 429 -> new WeightsOutcome.RateLimited(
					(response.retryAfterMs() >= 0) ? response.retryAfterMs() : DEFAULT_RETRY_AFTER_MS);
			default -> throw response.failure();
		};
	}

}
