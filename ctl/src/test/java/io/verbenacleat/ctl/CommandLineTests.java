package io.verbenacleat.ctl;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import io.verbenacleat.core.account.CallerKey;
import io.verbenacleat.core.account.Callers;
import io.verbenacleat.core.daemon.ExitCode;
import io.verbenacleat.core.journal.JournalReceipt;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.core.platform.Transaction;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against wrong exit codes, unclear or missing messages, stack traces, and secrets
 * in the output.
 */
public class CommandLineTests {

	private static final String BASE = "../examples/guild/base.yaml";

	private static final String OVERLAY = "austin=../examples/guild/austin.yaml";

	private InMemoryTableStore table = new InMemoryTableStore();

	private Map<String, String> environment = Map.of();

	private String out = "";

	private String err = "";

	@BeforeMethod
	public void setUp() {
		this.table = new InMemoryTableStore();
		this.environment = Map.of("VERBENA_PLATFORM_URL", "http://127.0.0.1:1", "VERBENA_PLATFORM_TOKEN",
				"platform-secret");
	}

	@Test
	public void accountLifeCycle() {
		assertEquals(run("account", "create", "bench", "--workspace", "quotes"), ExitCode.DONE);
		assertEquals(run("account", "top-up", "bench", "--id", "t1", "--tokens", "500"), ExitCode.DONE);
		assertEquals(run("account", "top-up", "bench", "--id", "t1", "--tokens", "500"), ExitCode.DONE);
		assertTrue(this.out.contains("toppedUpTokens: 500\n"), this.out);
		assertEquals(run("account", "top-up", "bench", "--id", "t1", "--tokens", "501"), ExitCode.FAILED);
		assertTrue(this.err.contains("found 501 tokens, allowed is a repeat with 500 tokens"), this.err);
		assertEquals(run("account", "settle-held", "bench", "--id", "s1", "--spent", "1"), ExitCode.FAILED);
		assertEquals(run("account", "list", "--output", "json"), ExitCode.DONE);
		assertTrue(this.out.startsWith("[{\"account\":\"bench\""), this.out);
		assertEquals(run("account", "show", "other", "--output", "json"), ExitCode.FAILED);
		assertEquals(this.err, "{\"error\":\"unknown-account\",\"message\":\"Account 'other' is unknown\"}\n");
	}

	@Test
	public void keyIsShownOnceAndOnlyItsHashIsStored() throws Exception {
		run("account", "create", "bench", "--workspace", "quotes");
		assertEquals(run("caller", "create", "bench", "desk", "--output", "json"), ExitCode.DONE);
		String key = Json.mapper().readTree(this.out).path("key").asText();
		String stored = this.table.read(Callers.key("bench")).get().json();
		assertFalse(stored.contains(key));
		assertTrue(stored.contains(CallerKey.parse(key).orElseThrow().sha256()));
		assertEquals(run("caller", "list", "bench"), ExitCode.DONE);
		assertFalse(this.out.contains("vk_"), this.out);
		assertTrue(this.out.startsWith("caller  createdAt"), this.out);
		assertTrue(this.out.lines().findFirst().orElse("").endsWith("revokedAt"), this.out);
		assertEquals(run("caller", "revoke", "bench", "desk"), ExitCode.DONE);
		assertTrue(this.out.contains("revokedAt: 2"), this.out);
		assertEquals(run("caller", "revoke", "bench", "other"), ExitCode.FAILED);
	}

	@Test
	public void configIsAppliedOnTheExpectedVersionOnly() {
		assertEquals(run("config", "show"), ExitCode.FAILED);
		assertEquals(run("config", "apply", "--base", BASE), ExitCode.USAGE);
		assertEquals(run("config", "apply", "--base", BASE, "--expect-version", "-1"), ExitCode.USAGE);
		assertEquals(run("config", "apply", "--base", BASE, "--expect-version", "0"), ExitCode.DONE);
		assertEquals(run("config", "diff", "--base", BASE, "--overlay", OVERLAY), ExitCode.DONE);
		assertTrue(this.out.matches("(?s)site +path +from +to\naustin +limits.requestTimeoutMs +180000 +60000\n"),
				this.out);
		assertEquals(run("config", "apply", "--base", BASE, "--overlay", OVERLAY, "--expect-version", "0"),
				ExitCode.FAILED);
		assertEquals(this.err, "verbenactl: Expected version 0 of the configuration, but version 1 is current\n");
		assertEquals(run("config", "apply", "--base", BASE, "--overlay", OVERLAY, "--expect-version", "1"),
				ExitCode.DONE);
		assertEquals(run("config", "history", "--output", "json"), ExitCode.DONE);
		assertTrue(this.out.matches("(?s)\\[\\{\"version\":1,.*\\{\"version\":2,.*"), this.out);
		assertEquals(run("config", "history", "--limit", "1", "--output", "json"), ExitCode.DONE);
		assertTrue(this.out.startsWith("[{\"version\":2,"), this.out);
		assertEquals(run("config", "history", "--limit", "0"), ExitCode.USAGE);
		assertEquals(run("config", "show", "--number", "3"), ExitCode.FAILED);
		assertEquals(run("config", "show", "--site", "austin", "--output", "json"), ExitCode.DONE);
		assertTrue(this.out.contains("\"requestTimeoutMs\":60000"), this.out);
	}

	@Test
	public void diffShowsAChangeOfZone() throws IOException {
		run("config", "apply", "--base", BASE, "--expect-version", "0");
		Path changed = Files.createTempFile("base", ".yaml");
		try {
			Files.writeString(changed, Files.readString(Path.of(BASE)).replace("zone: south-texas-2", "zone: other"));
			assertEquals(run("config", "diff", "--base", changed.toString(), "--output", "json"), ExitCode.DONE);
			assertTrue(this.out.startsWith("[{\"site\":\"austin\",\"path\":\"sites[austin].zone\","
					+ "\"from\":\"south-texas-2\",\"to\":\"other\"}"), this.out);
		}
		finally {
			Files.delete(changed);
		}
	}

	@Test
	public void configCheckReportsEachProblemInOneLine() {
		assertEquals(run("config", "check", "--base", BASE, "--overlay", OVERLAY), ExitCode.DONE);
		assertEquals(run("config", "check", "--base", "../examples/guild/austin.yaml"), ExitCode.FAILED);
		assertEquals(this.err.lines().count(), 4);
		assertEquals(run("config", "check", "--base", "missing.yaml"), ExitCode.FAILED);
		assertEquals(run("config", "check", "--base", BASE, "--overlay", "austin"), ExitCode.USAGE);
	}

	@Test
	public void backendServersAreDrainedAndUndrained() {
		assertEquals(run("backend", "drain", "engine-1"), ExitCode.FAILED);
		run("config", "apply", "--base", BASE, "--expect-version", "0");
		assertEquals(run("backend", "drain", "engine-9"), ExitCode.FAILED);
		assertEquals(run("backend", "drain", "engine-1", "--author", "ana"), ExitCode.DONE);
		assertTrue(this.out.contains("draining: true\nby: ana\n"), this.out);
		assertEquals(run("backend", "list"), ExitCode.DONE);
		assertEquals(this.out.lines().count(), 12);
		assertEquals(run("backend", "undrain", "engine-1"), ExitCode.DONE);
		assertTrue(this.out.contains("draining: false\n"), this.out);
	}

	@Test
	public void receiptsOfJournalsAndFinalRowsAreListedOldestFirst() {
		run("account", "create", "bench", "--workspace", "quotes");
		put(JournalRow.key("holder-2", 1), journal(receipt("req-2", "bench", 20), receipt("req-x", "other", 5)));
		put(JournalRow.finalKey("holder-1"), journal(receipt("req-1", "bench", 10)));
		assertEquals(run("request", "list", "--account", "bench"), ExitCode.DONE);
		List<String> lines = this.out.lines().toList();
		assertEquals(lines.size(), 3);
		assertTrue(lines.get(1).startsWith("req-1 ") && lines.get(2).startsWith("req-2 "), this.out);
		assertEquals(run("request", "show", "req-1"), ExitCode.DONE);
		assertTrue(this.out.contains("billedTokens: 7\n"), this.out);
		assertEquals(run("request", "show", "req-9"), ExitCode.FAILED);
		put(JournalRow.key("holder-3", 1), journal(receipt("req-1", "bench", 10)));
		assertEquals(run("request", "show", "req-1"), ExitCode.FAILED);
		assertTrue(this.err.contains("has 2 receipts"), this.err);
	}

	@Test
	public void processesAreListed() {
		Member member = new Member("entry-1", Member.Role.ENTRY, "127.0.0.1:1", "127.0.0.1", "r", "z", "austin", null,
				0, 0);
		put(ProcessRow.key("entry-1"), new ProcessRow(member, ProcessRow.State.OPEN, null));
		assertEquals(run("process", "list"), ExitCode.DONE);
		assertTrue(this.out.contains("entry-1  ENTRY  OPEN"), this.out);
	}

	@Test(dataProvider = "badUsage")
	public void badUsageReturnsUsageCodeAndPrintsOneLine(String line) {
		assertEquals(run(line.split(" ")), ExitCode.USAGE);
		assertEquals(this.out, "");
		assertEquals(this.err.lines().count(), 1, this.err);
	}

	@DataProvider
	public Object[][] badUsage() {
		return new Object[][] { { "" }, { "account" }, { "account fly" }, { "fly" }, { "account show" },
				{ "account list --fly" }, { "account list --output xml" }, { "account list extra" },
				{ "account top-up a --id i --tokens many" }, { "account list --platform-url ftp://x" },
				{ "account list --output json --platform-url http://:" } };
	}

	@Test
	public void missingUrlMalformedRowsAndOutagesHaveClearMessages() {
		this.table.setAvailable(false);
		assertEquals(run("account", "list"), ExitCode.FAILED);
		assertEquals(this.err, "verbenactl: The table store is not available\n");
		this.table.setAvailable(true);
		put("account/bench", List.of());
		assertEquals(run("account", "list"), ExitCode.FAILED);
		assertEquals(this.err.lines().count(), 1, this.err);
		this.environment = Map.of();
		assertEquals(run("account", "list"), ExitCode.USAGE);
		assertEquals(this.err, "verbenactl: --platform-url is missing\n");
	}

	@Test
	public void helpAndVersionAtEachLevelWithoutSecrets() {
		for (String level : List.of("", "config ", "config apply ")) {
			assertEquals(run((level + "--version").split(" ")), ExitCode.DONE);
			assertEquals(this.out.lines().count(), 1);
			assertEquals(run((level + "--help").split(" ")), ExitCode.DONE);
			assertTrue(this.out.startsWith("Usage: verbenactl"), this.out);
			assertFalse(this.out.contains("platform-secret"), this.out);
		}
	}

	private ExitCode run(String... args) {
		ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
		ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
		PlatformConnector connector = (url, token) -> {
			if (url.equals("http://:")) {
				throw new IllegalArgumentException("not a URL");
			}
			return new PlatformConnection(this.table, () -> {
			});
		};
		ExitCode code = new CommandLine(this.environment, new PrintStream(outBytes, true, StandardCharsets.UTF_8),
				new PrintStream(errBytes, true, StandardCharsets.UTF_8), connector)
			.run(args);
		this.out = outBytes.toString(StandardCharsets.UTF_8);
		this.err = errBytes.toString(StandardCharsets.UTF_8);
		assertEquals(this.err.isEmpty(), code == ExitCode.DONE, this.err);
		assertFalse(this.err.contains("\tat "), this.err);
		return code;
	}

	private void put(String key, Object value) {
		this.table.transact(Transaction.builder().insert(key, Json.write(value)).build());
	}

	private static JournalRow journal(JournalReceipt... receipts) {
		return new JournalRow(List.of(receipts), Map.of(), Map.of());
	}

	private static JournalReceipt receipt(String request, String account, long startedAtMs) {
		return new JournalReceipt(request, account, "desk", "holder", "agent", "engine-1", "quote-drafter", 3, 4, 7, 0,
				"COMPLETE", startedAtMs, startedAtMs + 1);
	}

}
