package io.verbenacleat.entry.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.verbenacleat.core.account.Account;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;

/**
 * Reads all process rows and then all account rows, and selects the process rows that may
 * be deleted: those of closed processes without a grant in any account row, and those of
 * crashed agents that no closer needs. Used on the control thread only.
 */
final class RetentionScan {

	private static final int PAGE_ROWS = 500;

	private final TableStore store;

	private final ControlThread control;

	RetentionScan(TableStore store, ControlThread control) {
		this.store = store;
		this.control = control;
	}

	/**
	 * Runs one scan.
	 * @return the result; completes on the control thread, and fails when the table store
	 * does not answer or an account row is malformed
	 */
	CompletableFuture<Result> run() {
		List<Row> rows = new ArrayList<>();
		return scan(ProcessRow.KEY_PREFIX, rows::add).thenCompose((done) -> {
			Map<String, Row> candidates = new HashMap<>();
			List<ParsedRow> entries = entries(rows);
			entries.stream()
				.filter((entry) -> isDeletable(entry, entries))
				.forEach((entry) -> candidates.put(entry.member().incarnation(), entry.row));
			if (candidates.isEmpty()) {
				return CompletableFuture.completedFuture(new Result(List.of(), Set.of()));
			}
			return scan(Account.key(""), (row) -> candidates.keySet().removeAll(holders(row)))
				.thenApply((read) -> new Result(List.copyOf(candidates.values()), endedAgents(entries)));
		});
	}

	private static List<ParsedRow> entries(List<Row> rows) {
		List<ParsedRow> entries = new ArrayList<>();
		for (Row row : rows) {
			ProcessRows.parse(row).ifPresent((process) -> entries.add(new ParsedRow(row, process)));
		}
		return entries;
	}

	private static boolean isDeletable(ParsedRow entry, List<ParsedRow> all) {
		if (entry.member().role() == Member.Role.AGENT) {
			return (closedByItself(entry))
					? all.stream().noneMatch((other) -> isNewerAgent(entry.member(), other.member()))
					: isUnneededByClosers(entry.member(), all);
		}
		return entry.process.state() == ProcessRow.State.CLOSED && (closedByItself(entry)
				|| all.stream().anyMatch((other) -> tookAddressOf(other.member(), entry.member())));
	}

	private static boolean closedByItself(ParsedRow entry) {
		return entry.process.state() == ProcessRow.State.CLOSED
				&& entry.member().incarnation().equals(entry.process.closedBy());
	}

	/**
	 * Returns whether an agent crashed and every process that can have sent it an order
	 * is closed.
	 * @param agent the agent
	 * @param all all process rows
	 * @return {@code true} when a newer agent has its address and every entry that
	 * registered before that newer agent is closed
	 */
	private static boolean isUnneededByClosers(Member agent, List<ParsedRow> all) {
		long successor = all.stream()
			.map(ParsedRow::member)
			.filter((other) -> isNewerAgent(other, agent) && tookAddressOf(other, agent))
			.mapToLong(Member::registration)
			.min()
			.orElse(0);
		return all.stream()
			.filter((other) -> other.member().role() == Member.Role.ENTRY
					&& other.process.state() != ProcessRow.State.CLOSED)
			.allMatch((other) -> other.member().registration() > successor) && successor > 0;
	}

	private static boolean tookAddressOf(Member later, Member earlier) {
		return later.address().equals(earlier.address()) && later.registration() > earlier.registration();
	}

	private static boolean isNewerAgent(Member newer, Member older) {
		return newer.backendServer() != null && newer.backendServer().equals(older.backendServer())
				&& newer.fence() > older.fence();
	}

	private static Set<String> endedAgents(List<ParsedRow> entries) {
		List<Member> agents = entries.stream()
			.map(ParsedRow::member)
			.filter((member) -> member.role() == Member.Role.AGENT)
			.toList();
		return agents.stream()
			.filter((agent) -> agents.stream()
				.anyMatch((other) -> isNewerAgent(other, agent) && other.address().equals(agent.address())))
			.map(Member::incarnation)
			.collect(Collectors.toUnmodifiableSet());
	}

	private static Set<String> holders(Row account) {
		try {
			return Json.read(account.json(), Account.class).grants().keySet();
		}
		catch (JsonFormatException ex) {
			throw new IllegalStateException("The row " + account.key() + " is malformed", ex);
		}
	}

	private CompletableFuture<Void> scan(String prefix, Consumer<Row> consumer) {
		CompletableFuture<Void> done = new CompletableFuture<>();
		page(prefix, "", consumer, done);
		return done;
	}

	private void page(String prefix, String after, Consumer<Row> consumer, CompletableFuture<Void> done) {
		this.store.scan(prefix, after, PAGE_ROWS).thenAcceptAsync((rows) -> {
			rows.forEach(consumer);
			if (rows.size() < PAGE_ROWS) {
				done.complete(null);
			}
			else {
				page(prefix, rows.get(rows.size() - 1).key(), consumer, done);
			}
		}, this.control).whenComplete((read, failure) -> {
			if (failure != null) {
				done.completeExceptionally(failure);
			}
		});
	}

	/**
	 * The result of a scan. Immutable.
	 *
	 * @param candidates process rows to examine for deletion, of closed processes without
	 * grants and of crashed agents
	 * @param endedAgents the incarnations of agents whose address now belongs to a newer
	 * agent of the same backend server
	 */
	record Result(List<Row> candidates, Set<String> endedAgents) {
	}

	private record ParsedRow(Row row, ProcessRow process) {

		private Member member() {
			return this.process.member();
		}

	}

}
