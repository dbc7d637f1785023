package io.verbenacleat.ctl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import io.verbenacleat.core.account.AccountAdmin;
import io.verbenacleat.core.account.AccountException;
import io.verbenacleat.core.daemon.UsageException;
import io.verbenacleat.core.journal.JournalReceipt;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.platform.PlatformException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * The commands that show the receipts of billed requests, read from the journals and
 * final rows of all holders. Stateless.
 */
final class RequestCommands {

	private RequestCommands() {
	}

	static CommandGroup group() {
		return new CommandGroup("request", "billed requests", Map.of("show", Show::new, "list", ListByAccount::new));
	}

	private static List<JournalReceipt> findReceipts(CommandContext context, Predicate<JournalReceipt> filter)
			throws PlatformException, UsageException {
		List<JournalReceipt> found = new ArrayList<>();
		for (String prefix : List.of(JournalRow.KEY_PREFIX, JournalRow.FINAL_KEY_PREFIX)) {
			context.scan(prefix, JournalRow.class, (row) -> row.receipts().stream().filter(filter).forEach(found::add));
		}
		found.sort(Comparator.comparingLong(JournalReceipt::startedAtMs).thenComparing(JournalReceipt::requestId));
		return found;
	}

	private static final class Show extends Command {

		/** The id of the request. */
		@Argument(index = 0, required = true, metaVar = "ID", usage = "request id, from the header Verbena-Request-Id")
		public String request = "";

		@Override
		void run(CommandContext context) throws PlatformException, UsageException, CommandFailedException {
			List<JournalReceipt> found = findReceipts(context, (receipt) -> receipt.requestId().equals(this.request));
			if (found.isEmpty()) {
				throw new CommandFailedException("No receipt of request '" + this.request
						+ "'; it was not run, is in progress, or its receipt is not durable yet");
			}
			if (found.size() > 1) {
				throw new CommandFailedException("Request '" + this.request + "' has " + found.size()
						+ " receipts; 'verbenactl request list --account " + found.get(0).account() + "' shows them");
			}
			context.output().print(ReceiptView.of(found.get(0)));
		}

	}

	private static final class ListByAccount extends Command {

		/** The id of the account. */
		@Option(name = "--account", required = true, metaVar = "ACCOUNT", usage = "account id")
		public String account = "";

		@Override
		void run(CommandContext context) throws AccountException, PlatformException, UsageException {
			new AccountAdmin(context.store(), context.clock()).read(this.account);
			context.output()
				.print(findReceipts(context, (receipt) -> receipt.account().equals(this.account)).stream()
					.map(ReceiptView::of)
					.toList());
		}

	}

	/**
	 * The printed form of a receipt.
	 */
	record ReceiptView(String request, String account, String caller, String target, String status, long promptTokens,
			long answerTokens, long billedTokens, long heldTokens, String startedAt, String finishedAt,
			String backendServer, String holder, String agent) {

		static ReceiptView of(JournalReceipt receipt) {
			return new ReceiptView(receipt.requestId(), receipt.account(), receipt.callerId(), receipt.target(),
					receipt.status(), receipt.promptTokens(), receipt.answerTokens(), receipt.billedTokens(),
					receipt.heldTokens(), CommandContext.formatTime(receipt.startedAtMs()),
					CommandContext.formatTime(receipt.finishedAtMs()), receipt.backendServer(), receipt.holder(),
					receipt.agent());
		}

	}

}
