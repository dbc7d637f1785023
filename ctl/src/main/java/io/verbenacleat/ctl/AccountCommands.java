package io.verbenacleat.ctl;

import java.util.Map;

import io.verbenacleat.core.account.Account;
import io.verbenacleat.core.account.AccountAdmin;
import io.verbenacleat.core.account.AccountException;
import io.verbenacleat.core.account.Grant;
import io.verbenacleat.core.daemon.UsageException;
import io.verbenacleat.core.platform.PlatformException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * The commands that manage accounts. Stateless.
 */
final class AccountCommands {

	private AccountCommands() {
	}

	static CommandGroup group() {
		return new CommandGroup("account", "prepaid budgets", Map.of("create", Create::new, "show", Show::new, "list",
				List::new, "top-up", TopUp::new, "settle-held", SettleHeld::new));
	}

	private static AccountAdmin admin(CommandContext context) throws UsageException {
		return new AccountAdmin(context.store(), context.clock());
	}

	private abstract static class SingleAccountCommand extends Command {

		/** The id of the account. */
		@Argument(index = 0, required = true, metaVar = "ACCOUNT", usage = "account id")
		public String account = "";

	}

	private static final class Create extends SingleAccountCommand {

		/** The workspace of the account. */
		@Option(name = "--workspace", required = true, metaVar = "NAME", usage = "workspace of the account")
		public String workspace = "";

		/** The priority of the account, lower is more urgent. */
		@Option(name = "--priority", metaVar = "N", usage = "priority, lower is more urgent")
		public int priority;

		@Override
		void run(CommandContext context) throws AccountException, PlatformException, UsageException {
			context.output().print(AccountView.of(admin(context).create(this.account, this.workspace, this.priority)));
		}

	}

	private static final class Show extends SingleAccountCommand {

		@Override
		void run(CommandContext context) throws AccountException, PlatformException, UsageException {
			context.output().print(AccountView.of(admin(context).read(this.account)));
		}

	}

	private static final class List extends Command {

		@Override
		void run(CommandContext context) throws PlatformException, UsageException {
			context.output().print(admin(context).list().stream().map(AccountView::of).toList());
		}

	}

	private static final class TopUp extends SingleAccountCommand {

		/** The idempotency key of the top-up. */
		@Option(name = "--id", required = true, metaVar = "ID",
				usage = "id of this top-up; a repeat with the same id has no further effect")
		public String id = "";

		/** The number of tokens to add. */
		@Option(name = "--tokens", required = true, metaVar = "N", usage = "tokens to add, 1 or more")
		public long tokens;

		@Override
		void run(CommandContext context) throws AccountException, PlatformException, UsageException {
			context.output().print(AccountView.of(admin(context).topUp(this.account, this.id, this.tokens)));
		}

	}

	private static final class SettleHeld extends SingleAccountCommand {

		/** The idempotency key of the settlement. */
		@Option(name = "--id", required = true, metaVar = "ID",
				usage = "id of this settlement; a repeat with the same id has no further effect")
		public String id = "";

		/** The number of held tokens that were spent. */
		@Option(name = "--spent", required = true, metaVar = "N",
				usage = "how many of the held tokens were spent; the rest returns to the budget")
		public long spentTokens;

		@Override
		void run(CommandContext context) throws AccountException, PlatformException, UsageException {
			context.output().print(AccountView.of(admin(context).settleHeld(this.account, this.id, this.spentTokens)));
		}

	}

	/**
	 * The printed form of an account.
	 */
	record AccountView(String account, String workspace, int priority, long toppedUpTokens, long settledTokens,
			long heldTokens, long grantedTokens, long spentOnGrantsTokens, long heldOnGrantsTokens, long balanceTokens,
			long ungrantedTokens) {

		static AccountView of(Account account) {
			var grants = account.grants().values();
			return new AccountView(account.id(), account.workspace(), account.priority(), account.toppedUpTokens(),
					account.settledTokens(), account.heldTokens(),
					grants.stream().mapToLong(Grant::grantedTokens).sum(),
					grants.stream().mapToLong(Grant::spentTokens).sum(),
					grants.stream().mapToLong(Grant::heldTokens).sum(), account.balanceTokens(),
					account.ungrantedTokens());
		}

	}

}
