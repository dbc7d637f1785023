package io.verbenacleat.core.account;

import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import io.verbenacleat.core.head.Head;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.platform.BlockingTableStore;
import io.verbenacleat.core.platform.ConditionalWriter;
import io.verbenacleat.core.platform.PlatformException;
import io.verbenacleat.core.platform.PlatformProtocolException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.Transaction;

/**
 * Creates, lists and revokes the callers of accounts. Each change writes the callers, the
 * list of changes and the topic in the row {@code head} in one transaction. Safe for use
 * by several threads; blocks.
 */
public final class CallerAdmin {

	private final BlockingTableStore store;

	private final ConditionalWriter writer;

	private final Clock clock;

	private final RandomGenerator random;

	/**
	 * Creates an administration.
	 * @param store the table service
	 * @param clock the clock for the times in rows
	 * @param random the source of keys, a {@link java.security.SecureRandom} outside
	 * tests
	 */
	public CallerAdmin(BlockingTableStore store, Clock clock, RandomGenerator random) {
		this.store = store;
		this.writer = new ConditionalWriter(store);
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Creates a caller; only the hash of its key is stored.
	 * @param accountId the account id
	 * @param callerId the caller id, unique within the account
	 * @return the key, which cannot be read again
	 * @throws AccountException when the account is unknown or the caller id is taken
	 * @throws PlatformException when the platform fails or the outcome stays unknown
	 */
	public CallerKey create(String accountId, String callerId) throws AccountException, PlatformException {
		AccountAdmin.checkAccountId(accountId);
		AccountAdmin.checkOperationId(callerId);
		CallerKey key = CallerKey.create(accountId, this.random);
		Callers.Caller caller = new Callers.Caller(callerId, key.sha256(), this.clock.millis(), null);
		return this.writer.<CallerKey, AccountException>write((answerLost) -> {
			List<Row> rows = readRows(accountId);
			Callers callers = callers(rows, accountId);
			if (callers.findByHash(caller.keySha256()) != null) {
				return new ConditionalWriter.Plan<>(null, key);
			}
			if (callers.findById(callerId) != null) {
				throw new CallerExistsException(
						"Caller '" + callerId + "' of account '" + accountId + "' exists or was revoked");
			}
			return new ConditionalWriter.Plan<>(change(rows, accountId, callers.with(caller)), key);
		});
	}

	/**
	 * Revokes a caller; does nothing when it is revoked already.
	 * @param accountId the account id
	 * @param callerId the caller id
	 * @return the revoked caller
	 * @throws AccountException when the account or the caller is unknown
	 * @throws PlatformException when the platform fails or the outcome stays unknown
	 */
	public Callers.Caller revoke(String accountId, String callerId) throws AccountException, PlatformException {
		AccountAdmin.checkAccountId(accountId);
		return this.writer.<Callers.Caller, AccountException>write((answerLost) -> {
			List<Row> rows = readRows(accountId);
			Callers callers = callers(rows, accountId);
			Callers.Caller known = callers.findById(callerId);
			if (known == null) {
				throw new UnknownCallerException("Caller '" + callerId + "' of account '" + accountId + "' is unknown");
			}
			if (known.revokedAtMs() != null) {
				return new ConditionalWriter.Plan<>(null, known);
			}
			Callers.Caller revoked = new Callers.Caller(callerId, known.keySha256(), known.createdAtMs(),
					this.clock.millis());
			return new ConditionalWriter.Plan<>(change(rows, accountId, callers.with(revoked)), revoked);
		});
	}

	/**
	 * Reads the callers of an account, revoked ones included.
	 * @param accountId the account id
	 * @return the callers
	 * @throws AccountException when the account is unknown
	 * @throws PlatformException when the rows cannot be read
	 */
	public Callers list(String accountId) throws AccountException, PlatformException {
		AccountAdmin.checkAccountId(accountId);
		return callers(readRows(accountId), accountId);
	}

	private List<Row> readRows(String accountId) throws PlatformException {
		return this.store.read(List.of(Account.key(accountId), Callers.key(accountId), CallerChanges.KEY, Head.KEY));
	}

	private static Callers callers(List<Row> rows, String accountId) throws AccountException, PlatformException {
		AccountAdmin.account(rows.get(0), accountId);
		return Rows.parse(rows.get(1), Callers.class, new Callers(List.of()));
	}

	private static Transaction change(List<Row> rows, String accountId, Callers callers)
			throws PlatformProtocolException {
		CallerChanges changes = Rows.parse(rows.get(2), CallerChanges.class, new CallerChanges(List.of()));
		Head head = Rows.parse(rows.get(3), Head.class, new Head(Map.of()));
		return Transaction.builder()
			.putIf(rows.get(1).key(), rows.get(1).version(), Json.write(callers))
			.putIf(rows.get(2).key(), rows.get(2).version(), Json.write(changes.plus(accountId)))
			.putIf(rows.get(3).key(), rows.get(3).version(), Json.write(head.withNextVersion(Head.CALLERS)))
			.build();
	}

}
