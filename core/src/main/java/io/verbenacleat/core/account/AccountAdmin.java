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
 * Creates, shows, tops up and settles accounts. Every operation may be repeated after a
 * failure with the same id without a second effect. Safe for use by several threads;
 * blocks.
 * <p>
 * A grant of a closed holder stays in the account row until a holder next writes the row.
 * All accounts returned here have such grants folded, so that their figures are those of
 * the bill; top-ups and settlements write the folded account.
 */
public final class AccountAdmin {

	private static final String ACCOUNT_PREFIX = "account/";

	private static final int SCAN_ROWS = 200;

	private static final Pattern OPERATION_ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

	private static final int MAX_PRIORITY = 1000;

	private final BlockingTableStore store;

	private final ConditionalWriter writer;

	private final Clock clock;

	/**
	 * Creates an administration.
	 * @param store the table service
	 * @param clock the clock for the times in rows
	 */
	public AccountAdmin(BlockingTableStore store, Clock clock) {
		this.store = store;
		this.writer = new ConditionalWriter(store);
		this.clock = clock;
	}

	/**
	 * Creates an account without budget.
	 * @param accountId the account id
	 * @param workspace the workspace
	 * @param priority the priority of its requests, 0 to 1,000
	 * @return the account
	 * @throws AccountException when the account exists or an argument is wrong
	 * @throws PlatformException when the platform fails or the outcome stays unknown
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
			if (answerLost && isSame(Rows.parse(row, Account.class), account)) {
				return new ConditionalWriter.Plan<>(null, account);
			}
			throw new AccountExistsException("Account '" + accountId + "' exists");
		});
	}

	/**
	 * Reads an account.
	 * @param accountId the account id
	 * @return the account
	 * @throws AccountException when there is no such account
	 * @throws PlatformException when the row cannot be read
	 */
	public Account read(String accountId) throws AccountException, PlatformException {
		checkAccountId(accountId);
		return fold(account(this.store.read(Account.key(accountId)), accountId));
	}

	/**
	 * Reads all accounts.
	 * @return the accounts by ascending id
	 * @throws PlatformException when the rows cannot be read
	 */
	public List<Account> list() throws PlatformException {
		List<Account> accounts = new ArrayList<>();
		String after = "";
		List<Row> rows;
		do {
			rows = this.store.scan(ACCOUNT_PREFIX, after, SCAN_ROWS);
			for (Row row : rows) {
				after = row.key();
				accounts.add(Rows.parse(row, Account.class));
			}
		}
		while (rows.size() == SCAN_ROWS);
		Set<String> holders = new TreeSet<>();
		accounts.forEach((account) -> holders.addAll(account.grants().keySet()));
		Map<String, JournalRow> finalRows = finalRows(holders);
		return accounts.stream().map((account) -> ClosedGrants.fold(account, finalRows)).toList();
	}

	/**
	 * Raises the budget of an account once for each id.
	 * @param accountId the account id
	 * @param topUpId the id that the operator chose
	 * @param tokens the tokens, more than zero
	 * @return the account after the top-up, or as it is now when the id was used before
	 * @throws AccountException when the account is unknown, the id was used with another
	 * amount, or an argument is wrong
	 * @throws PlatformException when the platform fails or the outcome stays unknown
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
	 * Settles all held tokens of an account once for each id.
	 * @param accountId the account id
	 * @param settlementId the id that the operator chose
	 * @param spentTokens how many of the held tokens were spent; the rest returns to the
	 * budget
	 * @return the account after the settlement, or as it is now when the id was used
	 * before
	 * @throws AccountException when the account is unknown, the id was used with another
	 * amount, or more tokens are given than are held
	 * @throws PlatformException when the platform fails or the outcome stays unknown
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
		Account account = fold(account(rows.get(0), accountId));
		if (rows.get(1).exists()) {
			long known = Rows.parse(rows.get(1), TopUp.class).tokens();
			if (known != tokens) {
				throw new TopUpMismatchException("Top-up '" + topUpId + "' of account '" + accountId + "': found "
						+ tokens + " tokens, allowed is a repeat with " + known + " tokens or another id");
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
		Account account = fold(account(rows.get(0), accountId));
		if (rows.get(1).exists()) {
			long known = Rows.parse(rows.get(1), Settlement.class).spentTokens();
			if (known != spentTokens) {
				throw new SettlementMismatchException(
						"Settlement '" + settlementId + "' of account '" + accountId + "': found " + spentTokens
								+ " tokens, allowed is a repeat with " + known + " tokens or another id");
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
		for (int from = 0; from < keys.size(); from += SCAN_ROWS) {
			for (Row row : this.store.read(keys.subList(from, Math.min(keys.size(), from + SCAN_ROWS)))) {
				if (row.exists()) {
					finalRows.put(row.key().substring(JournalRow.FINAL_KEY_PREFIX.length()),
							Rows.parse(row, JournalRow.class));
				}
			}
		}
		return finalRows;
	}

	static Account account(Row row, String accountId) throws AccountException, PlatformException {
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

	static void checkOperationId(String id) throws InvalidNameException {
		if (!OPERATION_ID.matcher(id).matches()) {
			throw new InvalidNameException("Id: found '" + id
					+ "', allowed are 1 to 128 letters, digits, '.', '_' and '-', first a letter or digit");
		}
	}

	// Holders may have added grants and operators top-ups since a lost answer.
	private static boolean isSame(Account found, Account created) {
		return found.workspace().equals(created.workspace()) && found.priority() == created.priority();
	}

}
