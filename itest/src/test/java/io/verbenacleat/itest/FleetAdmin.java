package io.verbenacleat.itest;

import java.security.SecureRandom;
import java.time.Clock;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import io.verbenacleat.core.account.Account;
import io.verbenacleat.core.account.AccountAdmin;
import io.verbenacleat.core.account.CallerAdmin;
import io.verbenacleat.core.config.ConfigFiles;
import io.verbenacleat.core.config.ConfigStore;
import io.verbenacleat.core.config.ConfigText;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.core.platform.BlockingTableStore;
import io.verbenacleat.core.platform.PlatformClient;
import io.verbenacleat.core.platform.Row;

/**
 * Performs the operator's tasks in a test: applies the configuration, creates accounts
 * and tops them up. Connects directly to the platform, not through a relay. Thread-safe;
 * blocks.
 */
final class FleetAdmin implements AutoCloseable {

	/** The account that all callers of the tests use. */
	static final String ACCOUNT = "counter";

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);

	private static final String CONFIG = """
			office: itest
			region: region-1
			sites:
			  - {name: west, zone: zone-west}
			  - {name: east, zone: zone-east}
			models:
			  - name: model-a
			    maxAnswerTokens: 512
			    defaultMaxAnswerTokens: 64
			    overrunTokens: 32
			services:
			  - name: bookings
			    pathPrefix: /bookings
			    routes:
			      - {name: read-bookings, method: GET, path: /bookings/**, repeatable: true}
			      - {name: book, method: POST, path: /bookings/**, repeatable: false, priceTokens: 5}
			servers:
			  - {name: engine-1, kind: model-engine, url: "http://127.0.0.1:1", site: west, models: [model-a], checksFencing: true}
			  - {name: engine-2, kind: model-engine, url: "http://127.0.0.1:2", site: east, models: [model-a], checksFencing: true}
			  - {name: booking-1, kind: service, url: "http://127.0.0.1:3", site: west, service: bookings}
			limits:
			  requestTimeoutMs: 20000
			  maxInProgress: 256
			budget:
			  preset: guild
			""";

	private final PlatformClient platform;

	private final BlockingTableStore tables;

	/**
	 * Creates a client.
	 * @param platformPort the port of the stand-in platform
	 */
	FleetAdmin(int platformPort) {
		this.platform = PlatformClient.builder("http://127.0.0.1:" + platformPort)
			.token("itest-platform-token")
			.callTimeout(CALL_TIMEOUT)
			.build();
		this.tables = new BlockingTableStore(this.platform.tables(), CALL_TIMEOUT);
	}

	/**
	 * Applies the test configuration as version 1.
	 * @throws Exception when it cannot be written
	 */
	void applyConfig() throws Exception {
		new ConfigStore(this.tables, Clock.systemUTC())
			.apply(new ConfigFiles(new ConfigText("base.yaml", CONFIG), Map.of()), "itest", "apply-1", 0);
	}

	/**
	 * Creates the account {@link #ACCOUNT} with one caller.
	 * @param tokens the tokens of the first top-up
	 * @return the API key of the caller
	 * @throws Exception when it cannot be written
	 */
	String createAccount(long tokens) throws Exception {
		accounts().create(ACCOUNT, "front-desk", 0);
		topUp("first", tokens);
		return new CallerAdmin(this.tables, Clock.systemUTC(), new SecureRandom()).create(ACCOUNT, "maria").reveal();
	}

	/**
	 * Tops the account up.
	 * @param id the id of the top-up
	 * @param tokens the tokens to add
	 * @throws Exception when it cannot be written
	 */
	void topUp(String id, long tokens) throws Exception {
		accounts().topUp(ACCOUNT, id, tokens);
	}

	/**
	 * Reads the account.
	 * @return the account
	 * @throws Exception when it cannot be read
	 */
	Account account() throws Exception {
		return accounts().read(ACCOUNT);
	}

	/**
	 * Reads the row of the newest incarnation of a process.
	 * @param name the name of the process
	 * @return the row of the incarnation that started last, empty when there is none
	 * @throws Exception when it cannot be read
	 */
	Optional<ProcessRow> newestProcess(String name) throws Exception {
		Optional<ProcessRow> newest = Optional.empty();
		for (Row row : this.tables.scan(ProcessRow.KEY_PREFIX + name + "-", "", 1_000)) {
			ProcessRow process = Json.read(row.json(), ProcessRow.class);
			if (newest.isEmpty() || newest.get().member().startedAtMs() < process.member().startedAtMs()) {
				newest = Optional.of(process);
			}
		}
		return newest;
	}

	/**
	 * Returns whether an incarnation is closed.
	 * @param incarnation the incarnation
	 * @return {@code true} when its row exists and has the state CLOSED
	 * @throws Exception when it cannot be read
	 */
	boolean isClosed(String incarnation) throws Exception {
		Row row = this.tables.read(ProcessRow.key(incarnation));
		return row.exists() && Json.read(row.json(), ProcessRow.class).state() == ProcessRow.State.CLOSED;
	}

	@Override
	public void close() {
		this.platform.close();
	}

	private AccountAdmin accounts() {
		return new AccountAdmin(this.tables, Clock.systemUTC());
	}

}
