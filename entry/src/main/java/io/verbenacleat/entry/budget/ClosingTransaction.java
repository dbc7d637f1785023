package io.verbenacleat.entry.budget;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.head.Head;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.core.member.ZoneMembers;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WriteOutcome;

/**
 * Closes a process in one transaction: writes its final row, closes its process row and
 * removes it from the members. Safe for use by several threads.
 * <p>
 * The transaction has the version of the row {@code head} as a condition, and each change
 * of the membership raises that version. So no agent can have registered since
 * {@code head} was read: an agent that registers later finds the process neither among
 * the members nor open.
 */
final class ClosingTransaction {

	private final TableStore store;

	ClosingTransaction(TableStore store) {
		this.store = store;
	}

	/**
	 * Sends the transaction.
	 * @param process the process row as read
	 * @param head the row {@code head}, read before the agents were called
	 * @param finalRow the final row
	 * @param closer the incarnation of the process that closes it
	 * @return the outcome; fails when the members cannot be read or a given row is
	 * malformed
	 */
	CompletableFuture<WriteOutcome> send(Row process, Row head, JournalRow finalRow, String closer) {
		try {
			ProcessRow open = Json.read(process.json(), ProcessRow.class);
			Head topics = (head.exists()) ? Json.read(head.json(), Head.class) : new Head(Map.of());
			String zoneKey = ZoneMembers.key(open.member().zone());
			return this.store.read(zoneKey)
				.thenCompose((zone) -> this.store
					.transact(transaction(new Rows(process, head, zone), open, topics, finalRow, closer)));
		}
		catch (JsonFormatException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private static Transaction transaction(Rows rows, ProcessRow open, Head topics, JournalRow finalRow,
			String closer) {
		String incarnation = open.member().incarnation();
		Transaction.Builder transaction = Transaction.builder()
			.insert(JournalRow.finalKey(incarnation), Json.write(finalRow))
			.putIf(rows.process.key(), rows.process.version(), Json.write(open.withState(ProcessRow.State.CLOSED, closer)))
			.putIf(Head.KEY, rows.head.version(), Json.write(topics.withNextVersion(rows.zone.key())));
		if (rows.zone.exists()) {
			transaction.putIf(rows.zone.key(), rows.zone.version(),
					Json.write(members(rows.zone).without(incarnation)));
		}
		return transaction.build();
	}

	private static ZoneMembers members(Row zone) {
		try {
			return Json.read(zone.json(), ZoneMembers.class);
		}
		catch (JsonFormatException ex) {
			return new ZoneMembers(List.of());
		}
	}

	private record Rows(Row process, Row head, Row zone) {
	}

}
