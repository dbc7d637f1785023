package io.verbenacleat.entry.claim;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WriteOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Writes the final state of a claim. Reads the row and, while the order still claims it,
 * replaces it on condition of its version, with retries until the table store confirms
 * the write. Confined to the control thread.
 */
final class FinalClaimWrite {

	private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(100);

	private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(5);

	private final TableStore tables;

	private final ControlThread control;

	private final String key;

	private final long versionBefore;

	private final ClaimRow row;

	private final CompletableFuture<Void> result = new CompletableFuture<>();

	private Duration retryDelay = INITIAL_RETRY_DELAY;

	FinalClaimWrite(TableStore tables, ControlThread control, String key, long versionBefore, ClaimRow row) {
		this.tables = tables;
		this.control = control;
		this.key = key;
		this.versionBefore = versionBefore;
		this.row = row;
	}

	CompletableFuture<Void> result() {
		return this.result;
	}

	void start() {
		this.tables.read(this.key).whenCompleteAsync(this::onRead, this.control);
	}

	private void onRead(@Nullable Row found, @Nullable Throwable failure) {
		if (found == null) {
			retry();
			return;
		}
		try {
			if (found.version() == this.versionBefore || isOpen(found)) {
				write(found.version());
			}
			else {
				this.result.complete(null);
			}
		}
		catch (JsonFormatException ex) {
			retry();
		}
	}

	private boolean isOpen(Row found) throws JsonFormatException {
		Optional<Claim> claim = ClaimStore.parse(found);
		return claim.filter((read) -> read.row().isSameOrder(this.row) && read.row().state() == ClaimRow.State.CLAIMED)
			.isPresent();
	}

	private void write(long version) {
		Transaction transaction = Transaction.builder().putIf(this.key, version, Json.write(this.row)).build();
		this.tables.transact(transaction).thenAcceptAsync(this::onWritten, this.control);
	}

	private void onWritten(WriteOutcome outcome) {
		if (outcome instanceof WriteOutcome.Applied) {
			this.result.complete(null);
		}
		else {
			retry();
		}
	}

	private void retry() {
		this.control.schedule(this.retryDelay, this::start);
		Duration doubled = this.retryDelay.multipliedBy(2);
		this.retryDelay = (doubled.compareTo(MAX_RETRY_DELAY) < 0) ? doubled : MAX_RETRY_DELAY;
	}

}
