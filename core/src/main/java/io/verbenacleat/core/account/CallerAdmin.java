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
 * Creates, lists and revokes the callers of accounts for operators. Each change writes
 * the callers, the list of recent changes and the topic version in the row {@code head}
 * in one transaction, so that no change goes unnoticed. Safe for use by several threads;
 * every method blocks until the table store answers.
 */
public final class CallerAdmin {

	private final BlockingTableStore store;

	private final ConditionalWriter writer;

	private final Clock clock;

	private final RandomGenerator random;

	/**
	 * Creates an administrator of callers.
	 * @param store the table store
	 * @param clock the clock for the times in rows
	 * @param random the source of key secrets, a {@link java.security.SecureRandom}
	 * outside tests
	 */
	public CallerAdmin(BlockingTableStore store, Clock clock, RandomGenerator random) {
		this.store = store;
		this.writer = new ConditionalWriter(store);
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Creates a caller with a new key, of which only the hash is stored.
	 * @param accountId the account id
	 * @param callerId the caller id, unique within the account, also among revoked
	 * callers
	 * @return the key, which cannot be read again
	 * @throws AccountException if the account is unknown, the caller id is already in
	 * use, or an argument is invalid
	 * @throws PlatformException if the platform fails or the outcome remains unknown
	 */
	public CallerKey create(String accountId, String callerId) throws AccountException, PlatformException {
		AccountAdmin.checkAccountId(accountId);
		AccountAdmin.checkOperationId(callerId);
		CallerKey key = CallerKey.create(accountId, this.random);
		Callers.Caller caller = new Callers.Caller(callerId, key.sha256(), this.clock.millis(), null);
		return this.writer.<CallerKey, AccountException>write((answerLost) -> {
			List<Row> rows = readRows(accountId);
			Callers callers = parseCallers(rows, accountId);
			if (callers.findByHash(caller.keySha256()) != null) {
				return new ConditionalWriter.Plan<>(null, key);
			}
			if (callers.findById(callerId) != null) {
				throw new CallerExistsException(
						"Caller '" + callerId + "' of account '" + accountId + "' already exists or was revoked");
			}
			return new ConditionalWriter.Plan<>(changeTransaction(rows, accountId, callers.with(caller)), key);
		});
	}

	/**
	 * Revokes a caller; has no effect if it is already revoked.
	 * @param accountId the account id
	 * @param callerId the caller id
	 * @return the revoked caller
	 * @throws AccountException if the account or the caller is unknown or the account id
	 * is invalid
	 * @throws PlatformException if the platform fails or the outcome remains unknown
	 */
	public Callers.Caller revoke(String accountId, String callerId) throws AccountException, PlatformException {
		AccountAdmin.checkAccountId(accountId);
		return this.writer.<Callers.Caller, AccountException>write((answerLost) -> {
			List<Row> rows = readRows(accountId);
			Callers callers = parseCallers(rows, accountId);
			Callers.Caller existing = callers.findById(callerId);
			if (existing == null) {
				throw new UnknownCallerException("Caller '" + callerId + "' of account '" + accountId + "' is unknown");
			}
			if (existing.revokedAtMs() != null) {
				return new ConditionalWriter.Plan<>(null, existing);
			}
			Callers.Caller revoked = new Callers.Caller(callerId, existing.keySha256(), existing.createdAtMs(),
					this.clock.millis());
			return new ConditionalWriter.Plan<>(changeTransaction(rows, accountId, callers.with(revoked)), revoked);
		});
	}

	/**
	 * Reads the callers of an account, including revoked ones.
	 * @param accountId the account id
	 * @return the callers
	 * @throws AccountException if the account is unknown or its id is invalid
	 * @throws PlatformException if the rows cannot be read
	 */
	public Callers list(String accountId) throws AccountException, PlatformException {
		AccountAdmin.checkAccountId(accountId);
		return parseCallers(readRows(accountId), accountId);
	}

	private List<Row> readRows(String accountId) throws PlatformException {
		return this.store.read(List.of(Account.key(accountId), Callers.key(accountId), CallerChanges.KEY, Head.KEY));
	}

	private static Callers parseCallers(List<Row> rows, String accountId) throws AccountException, PlatformException {
		AccountAdmin.requireAccount(rows.get(0), accountId);
		return Rows.parse(rows.get(1), Callers.class, new Callers(List.of()));
	}

	private static Transaction changeTransaction(List<Row> rows, String accountId, Callers callers)
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
