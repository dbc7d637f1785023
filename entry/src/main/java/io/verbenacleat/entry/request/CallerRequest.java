package io.verbenacleat.entry.request;

import java.time.Duration;

import io.verbenacleat.core.account.CallerKey;
import io.verbenacleat.entry.routing.PrefixKey;
import io.verbenacleat.proto.v1.ChatWork;
import io.verbenacleat.proto.v1.HttpWork;
import org.jspecify.annotations.Nullable;

/**
 * A validated request of a caller. Immutable. Exactly one of {@code chat} and
 * {@code http} is set.
 *
 * @param requestId the request id
 * @param key the API key of the caller
 * @param chat the chat completion, or {@code null}
 * @param http the call to a plain service, or {@code null}
 * @param reserveTokens the tokens to reserve for the worst case, zero or more
 * @param repeatable whether the request may be run more than once
 * @param idempotencyKey the idempotency key; may be {@code null} only if the request is
 * repeatable
 * @param fingerprint the SHA-256 of method, path and body, lower-case hex
 * @param timeout the timeout of the request
 * @param prefix the prefix key of the prompt, or NONE without a prompt
 */
public record CallerRequest(String requestId, CallerKey key, @Nullable ChatWork chat, @Nullable HttpWork http,
		long reserveTokens, boolean repeatable, @Nullable String idempotencyKey, String fingerprint, Duration timeout,
		PrefixKey prefix) {

	/**
	 * Creates a request without a prefix key.
	 * @param requestId the request id
	 * @param key the API key of the caller
	 * @param chat the chat completion, or {@code null}
	 * @param http the call to a plain service, or {@code null}
	 * @param reserveTokens the tokens to reserve for the worst case, zero or more
	 * @param repeatable whether the request may be run more than once
	 * @param idempotencyKey the idempotency key; may be {@code null} only if the request
	 * is repeatable
	 * @param fingerprint the SHA-256 of method, path and body, lower-case hex
	 * @param timeout the timeout of the request
	 */
	public CallerRequest(String requestId, CallerKey key, @Nullable ChatWork chat, @Nullable HttpWork http,
			long reserveTokens, boolean repeatable, @Nullable String idempotencyKey, String fingerprint,
			Duration timeout) {
		this(requestId, key, chat, http, reserveTokens, repeatable, idempotencyKey, fingerprint, timeout,
				PrefixKey.NONE);
	}

}
