package io.verbenacleat.entry.budget;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;

/**
 * Reads all rows of a journal in pages. Safe for use by several threads; consumers run on
 * the control thread.
 */
final class JournalReader {

	private static final int PAGE_ROWS = 200;

	private final TableStore store;

	private final ControlThread control;

	JournalReader(TableStore store, ControlThread control) {
		this.store = store;
		this.control = control;
	}

	/**
	 * Reads a journal from its first row to its last.
	 * @param holder the holder incarnation
	 * @param consumer receives each row in order
	 * @return completes on the control thread after the last row, or fails with the
	 * failure of the read
	 */
	CompletableFuture<Void> read(String holder, Consumer<JournalRow> consumer) {
		CompletableFuture<Void> done = new CompletableFuture<>();
		readPage(JournalRow.prefix(holder), "", consumer, done);
		return done;
	}

	private void readPage(String prefix, String after, Consumer<JournalRow> consumer, CompletableFuture<Void> done) {
		this.store.scan(prefix, after, PAGE_ROWS).whenCompleteAsync((rows, failure) -> {
			if (failure != null || rows == null) {
				done.completeExceptionally(
						(failure != null) ? failure : new IllegalStateException("The table store returned no rows"));
				return;
			}
			try {
				parseRows(rows, consumer);
			}
			catch (JsonFormatException ex) {
				done.completeExceptionally(ex);
				return;
			}
			if (rows.size() < PAGE_ROWS) {
				done.complete(null);
			}
			else {
				readPage(prefix, rows.get(rows.size() - 1).key(), consumer, done);
			}
		}, this.control);
	}

	private static void parseRows(List<Row> rows, Consumer<JournalRow> consumer) throws JsonFormatException {
		for (Row row : rows) {
			consumer.accept(Json.read(row.json(), JournalRow.class));
		}
	}

}
