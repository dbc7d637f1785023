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
 * A conditional write of a claim that reads the row back after a lost response. A retry
 * has the same condition, so the write cannot take effect twice. Confined to the control
 * thread.
 */
final class ClaimWrite {

	private static final Duration RETRY_DELAY = Duration.ofMillis(50);

	private final TableStore tables;

	private final ControlThread control;

	private final String key;

	private final long version;

	private final ClaimRow row;

	private final Transaction transaction;

	private final CompletableFuture<ClaimResult> result = new CompletableFuture<>();

	private boolean maybeWritten;

	ClaimWrite(TableStore tables, ControlThread control, String key, long version, ClaimRow row) {
		this.tables = tables;
		this.control = control;
		this.key = key;
		this.version = version;
		this.row = row;
		this.transaction = Transaction.builder().putIf(key, version, Json.write(row)).build();
	}

	CompletableFuture<ClaimResult> result() {
		return this.result;
	}

	void start() {
		this.control.schedule(ClaimStore.CALL_TIMEOUT, () -> this.result.complete(new ClaimResult.Unreachable(true)));
		write();
	}

	private void write() {
		if (!this.result.isDone()) {
			this.tables.transact(this.transaction).thenAcceptAsync(this::onWritten, this.control);
		}
	}

	private void onWritten(WriteOutcome outcome) {
		if (outcome instanceof WriteOutcome.Applied applied) {
			Long newVersion = applied.versions().get(this.key);
			long heldVersion = (newVersion != null) ? newVersion : this.version + 1;
			this.result.complete(new ClaimResult.Held(new Claim(this.key, heldVersion, this.row)));
		}
		else if (outcome instanceof WriteOutcome.NotApplied && !this.maybeWritten) {
			this.result.complete(new ClaimResult.Unreachable(false));
		}
		else {
			this.maybeWritten |= outcome instanceof WriteOutcome.Unknown;
			readBack();
		}
	}

	private void readBack() {
		if (!this.result.isDone()) {
			this.tables.read(this.key).whenCompleteAsync(this::readBack, this.control);
		}
	}

	private void readBack(@Nullable Row found, @Nullable Throwable failure) {
		if (found == null) {
			this.control.schedule(RETRY_DELAY, this::readBack);
			return;
		}
		if (found.version() == this.version) {
			this.control.schedule(RETRY_DELAY, this::write);
			return;
		}
		try {
			Optional<Claim> claim = ClaimStore.parse(found);
			claim.ifPresentOrElse(this::completeFrom, () -> this.control.schedule(RETRY_DELAY, this::readBack));
		}
		catch (JsonFormatException ex) {
			this.result.complete(new ClaimResult.Unreachable(this.maybeWritten));
		}
	}

	private void completeFrom(Claim claim) {
		boolean held = claim.row().isSameOrder(this.row) && claim.row().state() == ClaimRow.State.CLAIMED;
		this.result.complete((held) ? new ClaimResult.Held(claim) : new ClaimResult.Taken(claim));
	}

}
