package io.verbenacleat.entry.http;

import java.time.Duration;
import java.util.Optional;

import io.jooby.Context;
import io.verbenacleat.core.account.CallerKey;
import io.verbenacleat.core.config.LimitsConfig;
import io.verbenacleat.entry.request.RefusalCode;
import org.jspecify.annotations.Nullable;

/**
 * Parses the request headers that the gateway itself evaluates. Stateless.
 */
final class CallerHeaders {

	private static final String SCHEME = "bearer ";

	private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 255;

	private static final long MAX_TIMEOUT_MS = 3_600_000;

	private CallerHeaders() {
	}

	/**
	 * Parses the API key of the caller.
	 * @param context the request
	 * @return the key
	 * @throws RequestRejectedException if the key is missing or malformed
	 */
	static CallerKey key(Context context) throws RequestRejectedException {
		String header = context.header("Authorization").value("");
		if (header.length() > SCHEME.length() && header.substring(0, SCHEME.length()).equalsIgnoreCase(SCHEME)) {
			Optional<CallerKey> key = CallerKey.parse(header.substring(SCHEME.length()).strip());
			if (key.isPresent()) {
				return key.get();
			}
		}
		throw new RequestRejectedException(RefusalCode.INVALID_API_KEY,
				"The header Authorization must be 'Bearer' and a valid key");
	}

	/**
	 * Returns the idempotency key.
	 * @param context the request
	 * @return the key, or {@code null} if there is none
	 * @throws RequestRejectedException if the key is blank or too long
	 */
	static @Nullable String idempotencyKey(Context context) throws RequestRejectedException {
		String key = context.header("Idempotency-Key").valueOrNull();
		if (key != null && (key.isBlank() || key.length() > MAX_IDEMPOTENCY_KEY_LENGTH)) {
			throw new RequestRejectedException(RefusalCode.INVALID_REQUEST,
					"The header Idempotency-Key must have 1 to " + MAX_IDEMPOTENCY_KEY_LENGTH + " characters");
		}
		return key;
	}

	/**
	 * Parses the timeout of the request.
	 * @param context the request
	 * @param limits the limits in force, which include the default timeout
	 * @return the timeout
	 * @throws RequestRejectedException if the header is not a number of milliseconds in
	 * range
	 */
	static Duration timeout(Context context, LimitsConfig limits) throws RequestRejectedException {
		String header = context.header("Verbena-Timeout-Ms").valueOrNull();
		if (header == null) {
			return Duration.ofMillis(limits.requestTimeoutMs());
		}
		if (!header.matches("[0-9]{1,7}") || Long.parseLong(header) < 1 || Long.parseLong(header) > MAX_TIMEOUT_MS) {
			throw new RequestRejectedException(RefusalCode.INVALID_REQUEST,
					"The header Verbena-Timeout-Ms must be an integer from 1 to " + MAX_TIMEOUT_MS);
		}
		return Duration.ofMillis(Long.parseLong(header));
	}

}
