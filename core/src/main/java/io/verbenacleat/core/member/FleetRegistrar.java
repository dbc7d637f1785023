package io.verbenacleat.core.member;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;
import java.util.random.RandomGenerator;

import io.verbenacleat.core.head.Head;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.BlockingTableStore;
import io.verbenacleat.core.platform.PlatformException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WriteOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Enters processes into the membership rows and takes them out again. Calls block; they
 * are for the start and the end of a daemon. Safe for use by several threads.
 * <p>
 * The pauses between attempts have full jitter: each is drawn evenly up to a bound that
 * doubles with each attempt, so that the load of the table service does not grow with the
 * number of processes that start at once.
 */
public final class FleetRegistrar {

	/**
	 * When a whole zone restarts, some 160 processes write the same rows at once; each
	 * conflict lets one of them through. The attempts last about three minutes.
	 */
	private static final int MAX_ATTEMPTS = 100;

	/** With 500 ms, 162 processes make 427 tries in one second, with 1,000 ms 346. */
	private static final long FIRST_BACKOFF_MS = 1_000;

	private static final long MAX_BACKOFF_MS = 4_000;

	private final BlockingTableStore store;

	private final RandomGenerator random;

	private final int maxAttempts;

	private final LongConsumer pauseMs;

	/**
	 * Creates a registrar.
	 * @param store the table store
	 * @param timeout how long to wait for each answer
	 * @param random the source of the jitter between attempts
	 */
	public FleetRegistrar(TableStore store, Duration timeout, RandomGenerator random) {
		this(store, timeout, random, MAX_ATTEMPTS, FleetRegistrar::park);
	}

	FleetRegistrar(TableStore store, Duration timeout, RandomGenerator random, int maxAttempts, LongConsumer pauseMs) {
		this.pauseMs = pauseMs;
		this.store = new BlockingTableStore(store, timeout);
		this.random = random;
		this.maxAttempts = maxAttempts;
	}

	/**
	 * Raises the fencing number of a backend server and names its new agent.
	 * @param server the backend server
	 * @param agentIncarnation the new agent
	 * @return the raised number, from 1
	 * @throws RegistrationException when the table store does not take the change
	 */
	public long acquireFencingToken(String server, String agentIncarnation) throws RegistrationException {
		return attempt("raise the fencing number of " + server, () -> {
			Row row = this.store.read(ServerRow.key(server));
			ServerRow present = (row.exists()) ? Json.read(row.json(), ServerRow.class) : new ServerRow(0, "");
			if (present.agentIncarnation().equals(agentIncarnation)) {
				return present.fence();
			}
			ServerRow raised = new ServerRow(present.fence() + 1, agentIncarnation);
			return (apply(Transaction.builder().putIf(row.key(), row.version(), Json.write(raised)).build()))
					? raised.fence() : null;
		});
	}

	/**
	 * Enters a process as open.
	 * @param member the process
	 * @return the version of its row {@code process/<incarnation>}, on which its later
	 * writes depend
	 * @throws RegistrationException when the table store does not take the change
	 */
	public long register(Member member) throws RegistrationException {
		return attempt("register " + member.incarnation(), () -> {
			List<Row> rows = readRows(member);
			if (rows.get(0).exists()) {
				return rows.get(0).version();
			}
			// The row head is written by each registration, so its version orders them
			// all.
			Member registered = member.withRegistration(rows.get(2).version() + 1);
			ProcessRow process = new ProcessRow(registered, ProcessRow.State.OPEN, null);
			Transaction transaction = membersChange(rows, members(rows.get(1)).plus(registered), member.zone())
				.insert(rows.get(0).key(), Json.write(process))
				.build();
			return (apply(transaction)) ? 1L : null;
		});
	}

	/**
	 * Takes a process out and marks it closed; for an agent, or an entry that never held
	 * a grant.
	 * @param member the process
	 * @throws RegistrationException when the table store does not take the change
	 */
	public void deregister(Member member) throws RegistrationException {
		attempt("deregister " + member.incarnation(), () -> {
			List<Row> rows = readRows(member);
			ProcessRow process = Json.read(rows.get(0).json(), ProcessRow.class);
			if (process.state() != ProcessRow.State.OPEN) {
				return true;
			}
			ProcessRow closed = process.withState(ProcessRow.State.CLOSED, member.incarnation());
			ZoneMembers left = members(rows.get(1)).without(member.incarnation());
			Transaction transaction = membersChange(rows, left, member.zone())
				.putIf(rows.get(0).key(), rows.get(0).version(), Json.write(closed))
				.build();
			return (apply(transaction)) ? true : null;
		});
	}

	private List<Row> readRows(Member member) throws PlatformException {
		return this.store.read(List.of(ProcessRow.key(member.incarnation()), ZoneMembers.key(member.zone()), Head.KEY));
	}

	private static Transaction.Builder membersChange(List<Row> rows, ZoneMembers members, String zone)
			throws JsonFormatException {
		Row headRow = rows.get(2);
		Head head = (headRow.exists()) ? Json.read(headRow.json(), Head.class) : new Head(Map.of());
		return Transaction.builder()
			.putIf(rows.get(1).key(), rows.get(1).version(), Json.write(members))
			.putIf(headRow.key(), headRow.version(), Json.write(head.withNextVersion(ZoneMembers.key(zone))));
	}

	private static ZoneMembers members(Row row) throws JsonFormatException {
		return (row.exists()) ? Json.read(row.json(), ZoneMembers.class) : new ZoneMembers(List.of());
	}

	private boolean apply(Transaction transaction) throws PlatformException {
		WriteOutcome outcome = this.store.transact(transaction);
		if (outcome instanceof WriteOutcome.NotApplied refused) {
			throw refused.cause();
		}
		return outcome instanceof WriteOutcome.Applied;
	}

	/**
	 * Returns the bound of the pause after an attempt, which doubles with each attempt.
	 * @param attempt the number of the attempt, from 0
	 * @return the bound, exclusive
	 */
	private static long maxBackoffMs(int attempt) {
		int doublings = Math.min(attempt, Long.numberOfTrailingZeros(Long.highestOneBit(MAX_BACKOFF_MS)));
		return Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << doublings);
	}

	private static void park(long ms) {
		LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ms));
	}

	private <T> T attempt(String what, Attempt<T> attempt) throws RegistrationException {
		Exception last = null;
		for (int i = 0; i < this.maxAttempts && !Thread.currentThread().isInterrupted(); i++) {
			try {
				T result = attempt.run();
				if (result != null) {
					return result;
				}
			}
			catch (PlatformException ex) {
				last = ex;
			}
			catch (JsonFormatException ex) {
				throw new RegistrationException("Cannot " + what + ": " + ex.getMessage(), ex);
			}
			this.pauseMs.accept(this.random.nextLong(maxBackoffMs(i)));
		}
		String reason = (last != null) ? last.getMessage() : "other processes changed the same rows";
		throw new RegistrationException("Cannot " + what + ": " + reason, last);
	}

	/**
	 * One attempt: a result, or {@code null} when a condition did not hold or the answer
	 * was lost, so that the rows are read again.
	 *
	 * @param <T> the type of the result
	 */
	@FunctionalInterface
	private interface Attempt<T> {

		@Nullable
		T run() throws PlatformException, JsonFormatException;

	}

}
