package io.verbenacleat.entry.budget;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.core.member.ZoneMembers;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;

/**
 * Deletes the rows {@code process/<incarnation>} and {@code final/<holder>} of processes
 * that are closed and no longer needed, at most one process a minute. Used on the control
 * thread only.
 * <p>
 * The row of a crashed agent is deleted when a newer agent of its backend server has its
 * address and every entry that registered before that newer agent is closed: only these
 * entries can have sent orders to the crashed agent, and no closer looks for it any more.
 * Any other process row is deleted only when all of the following is known:
 * <ul>
 * <li>Its state is CLOSED. A closed process never changes its state again, and the
 * deletion has the version of the row as a condition.</li>
 * <li>The process cannot register again: it closed its own row, or a process that
 * registered later has its address.</li>
 * <li>No account row has a grant of it. All account rows are read after the row that
 * shows the process closed. A holder writes a grant only on condition that its process
 * row is open, so a grant that is missing then cannot appear later.</li>
 * <li>No row {@code members/<zone>} of its zone lists it. The deletion has the version of
 * that row as a condition.</li>
 * <li>Each agent that may have received its orders answers {@code CloseProcess} with no
 * order in progress and no receipt, and starts none from then on; or the agent is lost
 * and a newer agent of its backend server has its address, so it no longer reads the
 * rows.</li>
 * <li>If the process is an agent, it closed its own row, and no older agent of its
 * backend server has a row. Its row is what shows closers that the older agent has
 * ended.</li>
 * </ul>
 * A final row is deleted together with the process row unless it has receipts or holds
 * the rest of a grant; it is then a billing record and stays. Two entries that both
 * consider themselves the leader do no harm, since each deletion is conditional.
 */
public final class ProcessRetention {

	private static final Duration INTERVAL = Duration.ofMinutes(1);

	/** A scan reads all account rows; 26,000 rows are 52 pages. */
	private static final Duration CYCLE_INTERVAL = Duration.ofHours(1);

	private final String incarnation;

	private final TableStore store;

	private final ControlThread control;

	private final CloseProcessRound closeRound;

	private final BooleanSupplier isLeader;

	private final RetentionScan scan;

	private final Queue<Row> candidates = new ArrayDeque<>();

	private Set<String> endedAgents = Set.of();

	private long nextCycleNanos;

	private boolean busy;

	/**
	 * Creates an instance and starts its timer.
	 * @param incarnation the incarnation of this process
	 * @param store the table store
	 * @param control the control thread
	 * @param agentControl the calls to agents
	 * @param lostAgents determines which agents are lost
	 * @param isLeader whether this entry is the one that deletes; called on the control
	 * thread
	 */
	public ProcessRetention(String incarnation, TableStore store, ControlThread control, AgentControl agentControl,
			LostAgents lostAgents, BooleanSupplier isLeader) {
		this.incarnation = incarnation;
		this.store = store;
		this.control = control;
		this.closeRound = new CloseProcessRound(store, control, agentControl, lostAgents);
		this.isLeader = isLeader;
		this.scan = new RetentionScan(store, control);
		this.nextCycleNanos = control.nanoTime();
		control.scheduleWithFixedDelay(INTERVAL, this::run);
	}

	private void run() {
		if (this.busy) {
			return;
		}
		if (!this.isLeader.getAsBoolean()) {
			this.candidates.clear();
			return;
		}
		Row next = this.candidates.poll();
		if (next != null) {
			trackCompletion(examine(next));
		}
		else if (this.control.nanoTime() - this.nextCycleNanos >= 0) {
			this.nextCycleNanos = this.control.nanoTime() + CYCLE_INTERVAL.toNanos();
			trackCompletion(this.scan.run().thenAccept(this::acceptScan));
		}
	}

	private void trackCompletion(CompletableFuture<?> work) {
		this.busy = true;
		work.whenCompleteAsync((done, failure) -> this.busy = false, this.control);
	}

	private void acceptScan(RetentionScan.Result result) {
		this.candidates.addAll(result.candidates());
		this.endedAgents = result.endedAgents();
	}

	private CompletableFuture<?> examine(Row row) {
		ProcessRow process = ProcessRows.parse(row).orElseThrow();
		if (process.member().role() == Member.Role.AGENT) {
			return delete(row, process.member());
		}
		return this.closeRound.run(process.member(), this.incarnation)
			.thenCompose((round) -> (isUnneeded(round)) ? delete(row, process.member())
					: CompletableFuture.completedFuture(null));
	}

	private boolean isUnneeded(CloseProcessRound.Result round) {
		return round.complete() && this.endedAgents.containsAll(round.lostIncarnations)
				&& round.responses.stream().allMatch((response) -> response.getReceiptsCount() == 0);
	}

	private CompletableFuture<?> delete(Row process, Member member) {
		String zoneKey = ZoneMembers.key(member.zone());
		return this.store.read(List.of(zoneKey, JournalRow.finalKey(member.incarnation()))).thenCompose((rows) -> {
			try {
				Row zone = rows.get(0);
				if (lists(zone, member)) {
					return CompletableFuture.completedFuture(null);
				}
				return this.store.transact(deletion(process, zone, rows.get(1)));
			}
			catch (JsonFormatException ex) {
				return CompletableFuture.failedFuture(ex);
			}
		});
	}

	private static boolean lists(Row zone, Member member) throws JsonFormatException {
		return zone.exists() && Json.read(zone.json(), ZoneMembers.class)
			.members()
			.stream()
			.anyMatch((listed) -> listed.incarnation().equals(member.incarnation()));
	}

	private static Transaction deletion(Row process, Row zone, Row finalRow) throws JsonFormatException {
		Transaction.Builder deletion = Transaction.builder()
			.deleteIf(process.key(), process.version())
			.require(zone.key(), zone.version());
		if (finalRow.exists() && !isBillingRecord(Json.read(finalRow.json(), JournalRow.class))) {
			deletion.deleteIf(finalRow.key(), finalRow.version());
		}
		return deletion.build();
	}

	private static boolean isBillingRecord(JournalRow finalRow) {
		return finalRow.restHeld() || !finalRow.receipts().isEmpty();
	}

}
