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
 * The claims of requests that may not be repeated, in the table store. Safe for use by
 * several threads; its futures complete on the control thread.
 * <p>
 * Rows are never deleted here: a write whose answer was lost may take effect late, and
 * only a row that stays in its place makes its condition fail. A claim that is given up
 * becomes RELEASED instead.
 */
public final class ClaimStore {

	/** How long a request waits for its claim. */
	static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

	/** A final write keeps up to 90 KB, so that this bounds it to some 20 MB. */
	static final int MAX_FINAL_WRITES = 256;

	private static final String KEY_PREFIX = "claim/";

	private final TableStore tables;

	private final ControlThread control;

	private final RunMetrics metrics;

	private final AtomicInteger finalWrites = new AtomicInteger();

	/**
	 * Creates a store of claims.
	 * @param tables the table store
	 * @param control the control thread, for timers
	 * @param metrics counts the results
	 */
	public ClaimStore(TableStore tables, ControlThread control, RunMetrics metrics) {
		this.tables = tables;
		this.control = control;
		this.metrics = metrics;
	}

	/**
	 * Returns the table key of a claim.
	 * @param account the account id
	 * @param idempotencyKey the Idempotency-Key of the caller
	 * @return the key
	 */
	public static String key(String account, String idempotencyKey) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			byte[] hash = digest.digest(idempotencyKey.getBytes(StandardCharsets.UTF_8));
			return KEY_PREFIX + account + "/" + HexFormat.of().formatHex(hash);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("Every Java platform has SHA-256", ex);
		}
	}

	/**
	 * Reads a claim.
	 * @param key the table key
	 * @return the claim, or empty; fails with a
	 * {@link io.verbenacleat.core.platform.PlatformException} when the table store does
	 * not answer in time
	 */
	public CompletableFuture<Optional<Claim>> read(String key) {
		CompletableFuture<Optional<Claim>> result = new CompletableFuture<>();
		this.control.schedule(CALL_TIMEOUT, () -> result
			.completeExceptionally(new PlatformUnavailableException("The table store did not answer in time", null)));
		this.tables.read(key).whenCompleteAsync((row, failure) -> completeRead(result, row, failure), this.control);
		return result;
	}

	/**
	 * Writes a claim on the condition that the row has a version. A lost answer is
	 * resolved by reading back.
	 * @param key the table key
	 * @param version the version, 0 for absent
	 * @param row the claim, in state CLAIMED
	 * @return the result, after a second at most; never fails
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
	 * Marks a claim as DONE, in the background until the table store has said so.
	 * @param key the table key
	 * @param row the claim as it was written
	 * @param response the response, {@code null} when it is not stored
	 * @return whether the row names the order as open no more; {@code false} when too
	 * many such writes wait
	 */
	public CompletableFuture<Boolean> complete(String key, ClaimRow row, @Nullable StoredResponse response) {
		return writeFinal(key, -1, row.withState(ClaimRow.State.DONE, response));
	}

	/**
	 * Releases a claim whose order was not run and never will be, in the background until
	 * the table store has said so. A claim whose write is still of unknown outcome cannot
	 * take effect afterwards.
	 * @param key the table key
	 * @param versionBefore the version on which the claim was conditional
	 * @param row the claim as it was written
	 * @return whether the row names the order as open no more; {@code false} when too
	 * many such writes wait
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
			result.completeExceptionally(new PlatformProtocolException("The claim could not be parsed", ex));
		}
	}

	static Optional<Claim> parse(Row row) throws JsonFormatException {
		if (!row.exists()) {
			return Optional.empty();
		}
		return Optional.of(new Claim(row.key(), row.version(), Json.read(row.json(), ClaimRow.class)));
	}

}
