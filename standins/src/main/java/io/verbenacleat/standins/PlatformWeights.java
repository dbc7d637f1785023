package io.verbenacleat.standins;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Clock;
import java.util.HexFormat;

import io.verbenacleat.core.platform.WeightsMetadata;

/**
 * Weight store of the platform stand-in. It has weights for every model name and a rate
 * limit on fetches, counted in fixed windows of one minute. Safe for use by several
 * threads.
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
	 * @param fetchesPerMinute the number of fetches that are allowed per minute
	 */
	PlatformWeights(Clock clock, int fetchesPerMinute) {
		this.clock = clock;
		this.fetchesPerMinute = fetchesPerMinute;
	}

	/**
	 * Counts a fetch against the rate limit; a fetch that is not allowed does not count.
	 * @return 0 when the fetch is allowed, otherwise the seconds until the next window, 1
	 * or more
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
	 * @param model the name of the model
	 * @return the metadata
	 */
	static WeightsMetadata metadata(String model) {
		return new WeightsMetadata(model, "1", SIZE_BYTES, sha256(model));
	}

	/**
	 * Returns the SHA-256 digest of a text in UTF-8.
	 * @param text the text
	 * @return the digest in lower-case hexadecimal digits
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
