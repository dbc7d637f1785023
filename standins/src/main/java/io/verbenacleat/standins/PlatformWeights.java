package io.verbenacleat.standins;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Clock;
import java.util.HexFormat;

import io.verbenacleat.core.platform.WeightsMetadata;

/**
 * The weight store of the platform stand-in: it has weights for every model, and a limit
 * on fetches per minute. Safe for use by several threads.
 */
final class PlatformWeights {

	private static final long WINDOW_MS = 60_000;

	private static final long SIZE_BYTES = 1L << 30;

	private final Clock clock;

	private final int fetchesPerMinute;

	private long windowStartMs;

	private int fetchesInWindow;

	/**
	 * Creates a store.
	 * @param clock the clock of the rate limit
	 * @param fetchesPerMinute how many fetches per minute are allowed
	 */
	PlatformWeights(Clock clock, int fetchesPerMinute) {
		this.clock = clock;
		this.fetchesPerMinute = fetchesPerMinute;
	}

	/**
	 * Counts a fetch against the limit.
	 * @return 0 when it is allowed, otherwise the seconds until the next one is
	 */
	synchronized long countFetch() {
		long nowMs = this.clock.millis();
		if (nowMs - this.windowStartMs >= WINDOW_MS || nowMs < this.windowStartMs) {
			this.windowStartMs = nowMs;
			this.fetchesInWindow = 0;
		}
		if (this.fetchesInWindow < this.fetchesPerMinute) {
			this.fetchesInWindow++;
			return 0;
		}
		return Math.max(1, (this.windowStartMs + WINDOW_MS - nowMs + 999) / 1_000);
	}

	/**
	 * Returns the metadata of a model, derived from its name.
	 * @param model the model
	 * @return the metadata
	 */
	static WeightsMetadata metadata(String model) {
		return new WeightsMetadata(model, "1", SIZE_BYTES, sha256(model));
	}

	/**
	 * Returns the SHA-256 of a text.
	 * @param text the text
	 * @return lower-case hex
	 */
	static String sha256(String text) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("Every Java platform has SHA-256", ex);
		}
	}

}
