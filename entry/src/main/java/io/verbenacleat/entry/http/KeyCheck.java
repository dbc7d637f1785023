package io.verbenacleat.entry.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.account.CallerKey;
import io.verbenacleat.entry.request.Refusal;

/**
 * Checks the key of a caller for requests that cost nothing.
 */
@FunctionalInterface
public interface KeyCheck {

	/**
	 * Checks a key.
	 * @param requestId the request id
	 * @param key the key
	 * @return the refusal, or empty when the key is valid; never fails
	 */
	CompletableFuture<Optional<Refusal>> check(String requestId, CallerKey key);

}
