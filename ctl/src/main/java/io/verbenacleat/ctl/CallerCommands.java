package io.verbenacleat.ctl;

import java.security.SecureRandom;
import java.util.Map;

import io.verbenacleat.core.account.AccountException;
import io.verbenacleat.core.account.CallerAdmin;
import io.verbenacleat.core.account.Callers;
import io.verbenacleat.core.daemon.UsageException;
import io.verbenacleat.core.platform.PlatformException;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;

/**
 * The commands that manage the callers of an account. Stateless.
 */
final class CallerCommands {

	private CallerCommands() {
	}

	static CommandGroup group() {
		return new CommandGroup("caller", "who may draw on an account",
				Map.of("create", Create::new, "list", List::new, "revoke", Revoke::new));
	}

	private static CallerAdmin admin(CommandContext context) throws UsageException {
		return new CallerAdmin(context.store(), context.clock(), new SecureRandom());
	}

	private abstract static class SingleAccountCommand extends Command {

		/** The id of the account. */
		@Argument(index = 0, required = true, metaVar = "ACCOUNT", usage = "account id")
		public String account = "";

	}

	private abstract static class SingleCallerCommand extends SingleAccountCommand {

		/** The id of the caller within the account. */
		@Argument(index = 1, required = true, metaVar = "CALLER", usage = "caller id, unique within the account")
		public String caller = "";

	}

	private static final class Create extends SingleCallerCommand {

		@Override
		void run(CommandContext context) throws AccountException, PlatformException, UsageException {
			String key = admin(context).create(this.account, this.caller).reveal();
			context.output().print(new NewCallerView(this.account, this.caller, key));
		}

	}

	private static final class List extends SingleAccountCommand {

		@Override
		void run(CommandContext context) throws AccountException, PlatformException, UsageException {
			context.output().print(admin(context).list(this.account).callers().stream().map(CallerView::of).toList());
		}

	}

	private static final class Revoke extends SingleCallerCommand {

		@Override
		void run(CommandContext context) throws AccountException, PlatformException, UsageException {
			context.output().print(CallerView.of(admin(context).revoke(this.account, this.caller)));
		}

	}

	/**
	 * The printed form of a new caller. Its key is shown nowhere else.
	 */
	record NewCallerView(String account, String caller, String key) {
	}

	/**
	 * The printed form of a caller.
	 */
	record CallerView(String caller, String createdAt, @Nullable String revokedAt) {

		static CallerView of(Callers.Caller caller) {
			Long revokedAtMs = caller.revokedAtMs();
			return new CallerView(caller.callerId(), CommandContext.formatTime(caller.createdAtMs()),
					(revokedAtMs != null) ? CommandContext.formatTime(revokedAtMs) : null);
		}

	}

}
