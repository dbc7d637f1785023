package io.verbenacleat.ctl;

import java.util.ArrayList;
import java.util.Map;

import io.verbenacleat.core.daemon.UsageException;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.core.platform.PlatformException;
import org.jspecify.annotations.Nullable;

/**
 * The commands that list the processes of the fleet. Stateless.
 */
final class ProcessCommands {

	private ProcessCommands() {
	}

	static CommandGroup group() {
		return new CommandGroup("process", "processes of the fleet", Map.of("list", List::new));
	}

	private static final class List extends Command {

		@Override
		void run(CommandContext context) throws PlatformException, UsageException {
			java.util.List<ProcessView> views = new ArrayList<>();
			context.scan(ProcessRow.KEY_PREFIX, ProcessRow.class, (row) -> views.add(ProcessView.of(row)));
			context.output().print(views);
		}

	}

	/**
	 * The printed form of a process.
	 */
	record ProcessView(String process, Member.Role role, ProcessRow.State state, String address, String site,
			String zone, @Nullable String backendServer, String startedAt, @Nullable String closedBy) {

		static ProcessView of(ProcessRow row) {
			Member member = row.member();
			return new ProcessView(member.incarnation(), member.role(), row.state(), member.address(), member.site(),
					member.zone(), member.backendServer(), CommandContext.formatTime(member.startedAtMs()),
					row.closedBy());
		}

	}

}
