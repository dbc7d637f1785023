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
 * Registers processes in the membership rows when a daemon starts, and deregisters them
 * when it stops. Safe for use by several threads; every method blocks until it has
 * succeeded or has used up its attempts.
 * <p>
 * Attempts are separated by exponential backoff with full jitter: each pause is drawn
 * uniformly up to a bound that doubles with each attempt. This keeps the load of the
 * table store from growing with the number of processes that start at once.
 */
public final class FleetRegistrar {

	/**
	 * When a whole availability zone restarts, some 160 processes write the same rows at
	 * once, and of the writes that conflict only one succeeds. All attempts together take
	 * about three minutes.
	 */
	private static final int MAX_ATTEMPTS = 100;

	/**
	 * The restart of a zone with 162 processes peaks at 346 write attempts in one second;
	 * with 500 ms the peak is 427.
	 */
	private static final long INITIAL_BACKOFF_MS = 1_000;

	private static final long MAX_BACKOFF_MS = 4_000;

	private final BlockingTableStore store;

	private final RandomGenerator random;

	private final int maxAttempts;

	private final LongConsumer sleepMs;

	/**
	 * Creates a registrar.
	 * @param store the table store
	 * @param timeout how long to wait for each answer of the table store
	 * @param random the source of jitter
	 */
	public FleetRegistrar(TableStore store, Duration timeout, RandomGenerator random) {
		this(store, timeout, random, MAX_ATTEMPTS, FleetRegistrar::sleep);
	}

	FleetRegistrar(TableStore store, Duration timeout, RandomGenerator random, int maxAttempts, LongConsumer sleepMs) {
		this.sleepMs = sleepMs;
		this.store = new BlockingTableStore(store, timeout);
		this.random = random;
		this.maxAttempts = maxAttempts;
	}

	/**
	 * Increments the fencing token of a backend server and records the new agent as its
	 * owner; has no effect if the agent already owns it.
	 * @param server the name of the backend server
	 * @param agentIncarnation the incarnation of the new agent
	 * @return the fencing token of the new agent, 1 or more
	 * @throws RegistrationException if no attempt succeeds or a row is malformed
	 */
	public long acquireFencingToken(String server, String agentIncarnation) throws RegistrationException {
		return retry("acquire the fencing token of " + server, () -> {
			Row row = this.store.read(ServerRow.key(server));
			ServerRow current = (row.exists()) ? Json.read(row.json(), ServerRow.class) : new ServerRow(0, "");
			if (current.agentIncarnation().equals(agentIncarnation)) {
				return current.fence();
			}
			ServerRow next = new ServerRow(current.fence() + 1, agentIncarnation);
			return (apply(Transaction.builder().putIf(row.key(), row.version(), Json.write(next)).build()))
					? next.fence() : null;
		});
	}

	/**
	 * Adds a process to the members of its availability zone and creates its process row
	 * in the state {@code OPEN}; has no effect if the process is already registered.
	 * @param member the process
	 * @return the version of its row {@code process/<incarnation>}, which its later
	 * writes have as a condition
	 * @throws RegistrationException if no attempt succeeds or a row is malformed
	 */
	public long register(Member member) throws RegistrationException {
		return retry("register " + member.incarnation(), () -> {
			List<Row> rows = readRows(member);
			if (rows.get(0).exists()) {
				return rows.get(0).version();
			}
			// Every registration writes the row head, so the version of that row orders
			// all registrations.
			Member registered = member.withRegistration(rows.get(2).version() + 1);
			ProcessRow process = new ProcessRow(registered, ProcessRow.State.OPEN, null);
			Transaction transaction = membersTransaction(rows, parseMembers(rows.get(1)).plus(registered),
					member.zone())
				.insert(rows.get(0).key(), Json.write(process))
				.build();
			return (apply(transaction)) ? 1L : null;
		});
	}

	/**
	 * Removes a process from the members of its availability zone and sets its process
	 * row to {@code CLOSED}; has no effect if the row is no longer {@code OPEN}. Only for
	 * an agent, or for an entry that never had a grant.
	 * @param member the process
	 * @throws RegistrationException if no attempt succeeds or a row is malformed
	 */
	public void deregister(Member member) throws RegistrationException {
		retry("deregister " + member.incarnation(), () -> {
			List<Row> rows = readRows(member);
			ProcessRow process = Json.read(rows.get(0).json(), ProcessRow.class);
			if (process.state() != ProcessRow.State.OPEN) {
				return true;
			}
			ProcessRow closed = process.withState(ProcessRow.State.CLOSED, member.incarnation());
			ZoneMembers remaining = parseMembers(rows.get(1)).without(member.incarnation());
			Transaction transaction = membersTransaction(rows, remaining, member.zone())
				.putIf(rows.get(0).key(), rows.get(0).version(), Json.write(closed))
				.build();
			return (apply(transaction)) ? true : null;
		});
	}

	private List<Row> readRows(Member member) throws PlatformException {
		return this.store.read(List.of(ProcessRow.key(member.incarnation()), ZoneMembers.key(member.zone()), Head.KEY));
	}

	private static Transaction.Builder membersTransaction(List<Row> rows, ZoneMembers members, String zone)
			throws JsonFormatException {
		Row headRow = rows.get(2);
		Head head = (headRow.exists()) ? Json.read(headRow.json(), Head.class) : new Head(Map.of());
		return Transaction.builder()
			.putIf(rows.get(1).key(), rows.get(1).version(), Json.write(members))
			.putIf(headRow.key(), headRow.version(), Json.write(head.withNextVersion(ZoneMembers.key(zone))));
	}

	private static ZoneMembers parseMembers(Row row) throws JsonFormatException {
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
	 * Returns the upper bound of the pause after an attempt, which doubles with each
	 * attempt up to {@link #MAX_BACKOFF_MS}.
	 * @param attempt the number of the attempt, from 0
	 * @return the bound in milliseconds, exclusive
	 */
	private static long backoffBoundMs(int attempt) {
		int doublings = Math.min(attempt, Long.numberOfTrailingZeros(Long.highestOneBit(MAX_BACKOFF_MS)));
		return Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << doublings);
	}

	private static void sleep(long ms) {
		LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ms));
	}

	private <T> T retry(String operation, Attempt<T> attempt) throws RegistrationException {
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
				throw new RegistrationException("Cannot " + operation + ": " + ex.getMessage(), ex);
			}
			this.sleepMs.accept(this.random.nextLong(backoffBoundMs(i)));
		}
		String reason = (last != null) ? last.getMessage() : "other processes changed the same rows";
		throw new RegistrationException("Cannot " + operation + ": " + reason, last);
	}

	/**
	 * One attempt: returns the result, or {@code null} if a condition of the write did
	 * not hold or the answer was lost. The next attempt then reads the rows again.
	 *
	 * @param <T> the type of the result
	 */
	@FunctionalInterface
	private interface Attempt<T> {

		@Nullable
		T run() throws PlatformException, JsonFormatException;

	}

}
