package io.verbenacleat.entry.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.account.CallerKey;
import io.verbenacleat.entry.request.Refusal;

/**
 * Checks the API keys of requests that reserve no tokens. Implementations are safe for
 * use by several threads.
 */
@FunctionalInterface
public interface KeyCheck {

	/**
	 * Checks a key.
	 * @param requestId the request id
	 * @param key the key
	 * @return the refusal, or empty if the key is valid; never fails
	 */
	CompletableFuture<Optional<Refusal>> check(String requestId, CallerKey key);

}
