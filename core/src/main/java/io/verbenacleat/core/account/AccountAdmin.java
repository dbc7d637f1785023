package io.verbenacleat.core.account;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;

import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.platform.BlockingTableStore;
import io.verbenacleat.core.platform.ConditionalWriter;
import io.verbenacleat.core.platform.PlatformException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.Transaction;

/**
 * Creates, reads, tops up and settles accounts for operators. An operation that is
 * retried with the same id after a failure takes effect at most once. Safe for use by
 * several threads; every method blocks until the table store answers.
 * <p>
 * The grant of a closed holder stays in the account row until a holder next writes that
 * row. The accounts returned by this class already include the final figures of such
 * grants and therefore agree with the bill, see {@link ClosedGrants}; top-ups and
 * settlements write the account in this form.
 */
public final class AccountAdmin {

	private static final String ACCOUNT_PREFIX = "account/";

	private static final int PAGE_ROWS = 200;

	private static final Pattern OPERATION_ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

	private static final int MAX_PRIORITY = 1000;

	private final BlockingTableStore store;

	private final ConditionalWriter writer;

	private final Clock clock;

	/**
	 * Creates an administrator of accounts.
	 * @param store the table store
	 * @param clock the clock for the times in rows
	 */
	public AccountAdmin(BlockingTableStore store, Clock clock) {
		this.store = store;
		this.writer = new ConditionalWriter(store);
		this.clock = clock;
	}

	/**
	 * Creates an account without tokens.
	 * @param accountId the account id
	 * @param workspace the workspace that the account belongs to
	 * @param priority the priority of its requests, 0 to 1,000; lower is more urgent
	 * @return the account
	 * @throws AccountException if the account already exists or an argument is invalid
	 * @throws PlatformException if the platform fails or the outcome remains unknown
	 */
	public Account create(String accountId, String workspace, int priority) throws AccountException, PlatformException {
		checkAccountId(accountId);
		if (!CallerKey.isAccountId(workspace)) {
			throw new InvalidNameException("Workspace: found '" + workspace
					+ "', allowed are 1 to 63 lower-case letters, digits and '-', not '-' first");
		}
		if (priority < 0 || priority > MAX_PRIORITY) {
			throw new InvalidNameException("Priority: found " + priority + ", allowed is 0 to " + MAX_PRIORITY);
		}
		Account account = Account.create(accountId, workspace, priority);
		return this.writer.<Account, AccountException>write((answerLost) -> {
			Row row = this.store.read(Account.key(accountId));
			if (!row.exists()) {
				Transaction insert = Transaction.builder().insert(row.key(), Json.write(account)).build();
				return new ConditionalWriter.Plan<>(insert, account);
			}
			if (answerLost && hasSameSettings(Rows.parse(row, Account.class), account)) {
				return new ConditionalWriter.Plan<>(null, account);
			}
			throw new AccountExistsException("Account '" + accountId + "' already exists");
		});
	}

	/**
	 * Reads an account.
	 * @param accountId the account id
	 * @return the account
	 * @throws AccountException if the account is unknown or the id is invalid
	 * @throws PlatformException if the rows cannot be read
	 */
	public Account read(String accountId) throws AccountException, PlatformException {
		checkAccountId(accountId);
		return fold(requireAccount(this.store.read(Account.key(accountId)), accountId));
	}

	/**
	 * Reads all accounts.
	 * @return the accounts in ascending order of their ids
	 * @throws PlatformException if the rows cannot be read
	 */
	public List<Account> list() throws PlatformException {
		List<Account> accounts = new ArrayList<>();
		String after = "";
		List<Row> rows;
		do {
			rows = this.store.scan(ACCOUNT_PREFIX, after, PAGE_ROWS);
			for (Row row : rows) {
				after = row.key();
				accounts.add(Rows.parse(row, Account.class));
			}
		}
		while (rows.size() == PAGE_ROWS);
		Set<String> holders = new TreeSet<>();
		accounts.forEach((account) -> holders.addAll(account.grants().keySet()));
		Map<String, JournalRow> finalRows = finalRows(holders);
		return accounts.stream().map((account) -> ClosedGrants.fold(account, finalRows)).toList();
	}

	/**
	 * Adds tokens to the budget of an account, once for each top-up id.
	 * @param accountId the account id
	 * @param topUpId the id that the operator chose for this top-up
	 * @param tokens the tokens to add, 1 or more
	 * @return the account after the top-up, or as it is now if the id was used before
	 * @throws AccountException if the account is unknown, the id was used with another
	 * amount, or an argument is invalid
	 * @throws PlatformException if the platform fails or the outcome remains unknown
	 */
	public Account topUp(String accountId, String topUpId, long tokens) throws AccountException, PlatformException {
		checkAccountId(accountId);
		checkOperationId(topUpId);
		if (tokens <= 0) {
			throw new InvalidTokensException("Tokens: found " + tokens + ", allowed is 1 or more");
		}
		return this.writer.<Account, AccountException>write((answerLost) -> planTopUp(accountId, topUpId, tokens));
	}

	/**
	 * Settles all held tokens of an account, once for each settlement id.
	 * @param accountId the account id
	 * @param settlementId the id that the operator chose for this settlement
	 * @param spentTokens how many of the held tokens were spent, 0 or more; the others
	 * return to the balance
	 * @return the account after the settlement, or as it is now if the id was used before
	 * @throws AccountException if the account is unknown, the id was used with another
	 * amount, an argument is invalid, or {@code spentTokens} exceeds the held tokens
	 * @throws PlatformException if the platform fails or the outcome remains unknown
	 */
	public Account settleHeld(String accountId, String settlementId, long spentTokens)
			throws AccountException, PlatformException {
		checkAccountId(accountId);
		checkOperationId(settlementId);
		return this.writer
			.<Account, AccountException>write((answerLost) -> planSettlement(accountId, settlementId, spentTokens));
	}

	private ConditionalWriter.Plan<Account> planTopUp(String accountId, String topUpId, long tokens)
			throws AccountException, PlatformException {
		List<Row> rows = this.store.read(List.of(Account.key(accountId), TopUp.key(accountId, topUpId)));
		Account account = fold(requireAccount(rows.get(0), accountId));
		if (rows.get(1).exists()) {
			long recordedTokens = Rows.parse(rows.get(1), TopUp.class).tokens();
			if (recordedTokens != tokens) {
				throw new TopUpMismatchException("Top-up '" + topUpId + "' of account '" + accountId + "': found "
						+ tokens + " tokens, allowed is a repeat with " + recordedTokens + " tokens or another id");
			}
			return new ConditionalWriter.Plan<>(null, account);
		}
		if (tokens > Long.MAX_VALUE - account.toppedUpTokens()) {
			throw new InvalidTokensException("Tokens: found " + tokens + ", allowed is at most "
					+ (Long.MAX_VALUE - account.toppedUpTokens()) + " for this account");
		}
		Account changed = account.plusTopUp(tokens);
		return new ConditionalWriter.Plan<>(Transaction.builder()
			.putIf(rows.get(0).key(), rows.get(0).version(), Json.write(changed))
			.insert(rows.get(1).key(), Json.write(new TopUp(tokens, this.clock.millis())))
			.build(), changed);
	}

	private ConditionalWriter.Plan<Account> planSettlement(String accountId, String settlementId, long spentTokens)
			throws AccountException, PlatformException {
		List<Row> rows = this.store.read(List.of(Account.key(accountId), Settlement.key(accountId, settlementId)));
		Account account = fold(requireAccount(rows.get(0), accountId));
		if (rows.get(1).exists()) {
			long recordedTokens = Rows.parse(rows.get(1), Settlement.class).spentTokens();
			if (recordedTokens != spentTokens) {
				throw new SettlementMismatchException(
						"Settlement '" + settlementId + "' of account '" + accountId + "': found " + spentTokens
								+ " tokens, allowed is a repeat with " + recordedTokens + " tokens or another id");
			}
			return new ConditionalWriter.Plan<>(null, account);
		}
		if (spentTokens < 0 || spentTokens > account.heldTokens()) {
			throw new InvalidTokensException("Spent tokens: found " + spentTokens
					+ ", allowed is 0 to the held tokens, " + account.heldTokens());
		}
		Account changed = account.withHeldSettled(spentTokens);
		Settlement settlement = new Settlement(account.heldTokens(), spentTokens, this.clock.millis());
		return new ConditionalWriter.Plan<>(Transaction.builder()
			.putIf(rows.get(0).key(), rows.get(0).version(), Json.write(changed))
			.insert(rows.get(1).key(), Json.write(settlement))
			.build(), changed);
	}

	private Account fold(Account account) throws PlatformException {
		return ClosedGrants.fold(account, finalRows(account.grants().keySet()));
	}

	private Map<String, JournalRow> finalRows(Set<String> holders) throws PlatformException {
		Map<String, JournalRow> finalRows = new HashMap<>();
		List<String> keys = holders.stream().map(JournalRow::finalKey).toList();
		for (int from = 0; from < keys.size(); from += PAGE_ROWS) {
			for (Row row : this.store.read(keys.subList(from, Math.min(keys.size(), from + PAGE_ROWS)))) {
				if (row.exists()) {
					finalRows.put(row.key().substring(JournalRow.FINAL_KEY_PREFIX.length()),
							Rows.parse(row, JournalRow.class));
				}
			}
		}
		return finalRows;
	}

	static Account requireAccount(Row row, String accountId) throws AccountException, PlatformException {
		if (!row.exists()) {
			throw new UnknownAccountException("Account '" + accountId + "' is unknown");
		}
		return Rows.parse(row, Account.class);
	}

	static void checkAccountId(String accountId) throws InvalidNameException {
		if (!CallerKey.isAccountId(accountId)) {
			throw new InvalidNameException("Account id: found '" + accountId
					+ "', allowed are 1 to 63 lower-case letters, digits and '-', not '-' first");
		}
	}

	static void checkOperationId(String operationId) throws InvalidNameException {
		if (!OPERATION_ID.matcher(operationId).matches()) {
			throw new InvalidNameException("Id: found '" + operationId
					+ "', allowed are 1 to 128 letters, digits, '.', '_' and '-', first a letter or digit");
		}
	}

	// After a lost answer, holders may have added grants and operators top-ups to the
	// account that this call created, so only the settings are compared.
	private static boolean hasSameSettings(Account found, Account created) {
		return found.workspace().equals(created.workspace()) && found.priority() == created.priority();
	}

}
