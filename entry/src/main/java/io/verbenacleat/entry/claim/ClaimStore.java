package io.verbenacleat.entry.claim;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.PlatformProtocolException;
import io.verbenacleat.core.platform.PlatformUnavailableException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.entry.dispatch.RunMetrics;
import org.jspecify.annotations.Nullable;

/**
 * Stores the claims of requests that must not be repeated in the table store. Safe for
 * use by several threads; its futures complete on the control thread.
 * <p>
 * Rows are never deleted here: a write whose response was lost may take effect late, and
 * its condition fails only if the row still exists. A claim that is no longer needed
 * becomes RELEASED instead.
 */
public final class ClaimStore {

	/** The timeout of reading or writing the claim of a waiting request. */
	static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

	/**
	 * Each final write retains up to 90 KB, so this limits them to some 20 MB in total.
	 */
	static final int MAX_FINAL_WRITES = 256;

	private static final String KEY_PREFIX = "claim/";

	private final TableStore tables;

	private final ControlThread control;

	private final RunMetrics metrics;

	private final AtomicInteger finalWrites = new AtomicInteger();

	/**
	 * Creates a store of claims.
	 * @param tables the table store
	 * @param control the control thread, which runs timers and callbacks
	 * @param metrics counts the results of writes
	 */
	public ClaimStore(TableStore tables, ControlThread control, RunMetrics metrics) {
		this.tables = tables;
		this.control = control;
		this.metrics = metrics;
	}

	/**
	 * Returns the table key of a claim.
	 * @param account the account id
	 * @param idempotencyKey the idempotency key of the caller
	 * @return the key
	 */
	public static String key(String account, String idempotencyKey) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			byte[] hash = digest.digest(idempotencyKey.getBytes(StandardCharsets.UTF_8));
			return KEY_PREFIX + account + "/" + HexFormat.of().formatHex(hash);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

	/**
	 * Reads a claim.
	 * @param key the table key
	 * @return the claim, or empty if there is none; fails with a
	 * {@link io.verbenacleat.core.platform.PlatformException} if the row is malformed or
	 * the table store does not respond in time
	 */
	public CompletableFuture<Optional<Claim>> read(String key) {
		CompletableFuture<Optional<Claim>> result = new CompletableFuture<>();
		this.control.schedule(CALL_TIMEOUT, () -> result
			.completeExceptionally(new PlatformUnavailableException("The table store did not respond in time", null)));
		this.tables.read(key).whenCompleteAsync((row, failure) -> completeRead(result, row, failure), this.control);
		return result;
	}

	/**
	 * Writes a claim on condition that the row has the given version. After a lost
	 * response, the row is read back to find out whether the write was applied.
	 * @param key the table key
	 * @param version the expected version, 0 if the row must be absent
	 * @param row the claim, in state CLAIMED
	 * @return the result, available after a second at most; never fails
	 */
	public CompletableFuture<ClaimResult> claim(String key, long version, ClaimRow row) {
		ClaimWrite write = new ClaimWrite(this.tables, this.control, key, version, row);
		this.control.execute(write::start);
		return write.result().thenApply((result) -> {
			this.metrics.claim(label(result));
			return result;
		});
	}

	/**
	 * Marks a claim as DONE, with retries in the background until the table store
	 * confirms it.
	 * @param key the table key
	 * @param row the claim as it was written
	 * @param response the response to store, or {@code null} for none
	 * @return completes with {@code true} when the order is no longer claimed by the row,
	 * or with {@code false} at once when too many final writes are in progress
	 */
	public CompletableFuture<Boolean> complete(String key, ClaimRow row, @Nullable StoredResponse response) {
		return writeFinal(key, -1, row.withState(ClaimRow.State.DONE, response));
	}

	/**
	 * Releases a claim whose order was not and will never be run, with retries in the
	 * background until the table store confirms it. A write of the claim whose outcome is
	 * unknown cannot take effect afterwards.
	 * @param key the table key
	 * @param versionBefore the version that the write of the claim expected
	 * @param row the claim as it was written
	 * @return completes with {@code true} when the order is no longer claimed by the row,
	 * or with {@code false} at once when too many final writes are in progress
	 */
	public CompletableFuture<Boolean> release(String key, long versionBefore, ClaimRow row) {
		return writeFinal(key, versionBefore, row.withState(ClaimRow.State.RELEASED, null));
	}

	private CompletableFuture<Boolean> writeFinal(String key, long versionBefore, ClaimRow row) {
		if (this.finalWrites.incrementAndGet() > MAX_FINAL_WRITES) {
			this.finalWrites.decrementAndGet();
			this.metrics.claim("final_write_dropped");
			return CompletableFuture.completedFuture(false);
		}
		FinalClaimWrite write = new FinalClaimWrite(this.tables, this.control, key, versionBefore, row);
		this.control.execute(write::start);
		return write.result().thenApply((ignored) -> {
			this.finalWrites.decrementAndGet();
			this.metrics.claim((row.state() == ClaimRow.State.DONE) ? "done" : "released");
			return true;
		});
	}

	private static String label(ClaimResult result) {
		if (result instanceof ClaimResult.Held) {
			return "claimed";
		}
		return (result instanceof ClaimResult.Taken) ? "taken" : "unreachable";
	}

	private static void completeRead(CompletableFuture<Optional<Claim>> result, @Nullable Row row,
			@Nullable Throwable failure) {
		if (row == null) {
			result.completeExceptionally(new PlatformUnavailableException("The claim could not be read", failure));
			return;
		}
		try {
			result.complete(parse(row));
		}
		catch (JsonFormatException ex) {
			result.completeExceptionally(new PlatformProtocolException("The claim is malformed", ex));
		}
	}

	static Optional<Claim> parse(Row row) throws JsonFormatException {
		if (!row.exists()) {
			return Optional.empty();
		}
		return Optional.of(new Claim(row.key(), row.version(), Json.read(row.json(), ClaimRow.class)));
	}

}
