package io.verbenacleat.entry.http;

import java.time.Duration;
import java.util.Optional;

import io.jooby.Context;
import io.verbenacleat.core.account.CallerKey;
import io.verbenacleat.core.config.LimitsConfig;
import io.verbenacleat.entry.request.RefusalCode;
import org.jspecify.annotations.Nullable;

/**
 * Reads the headers that the gateway itself understands.
 */
final class CallerHeaders {

	private static final String SCHEME = "bearer ";

	private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 255;

	private static final long MAX_TIMEOUT_MS = 3_600_000;

	private CallerHeaders() {
	}

	/**
	 * Reads the key of the caller.
	 * @param context the request
	 * @return the key
	 * @throws RequestRejectedException when there is none, or it has a wrong form
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
	 * Reads the Idempotency-Key.
	 * @param context the request
	 * @return the key, or {@code null} when there is none
	 * @throws RequestRejectedException when it is empty or too long
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
	 * Reads how long the request may take.
	 * @param context the request
	 * @param limits the limits in force
	 * @return the time
	 * @throws RequestRejectedException when it is not a number of milliseconds in range
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
