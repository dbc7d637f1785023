package io.verbenacleat.bench.hop;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

/**
 * Starts and stops the processes of {@code bin/quickstart --keep}, which run on the
 * loopback interface. Not safe for use by several threads.
 */
final class LocalFleet implements AutoCloseable {

	private static final int PORT_BASE = 28_000;

	/** On all supported hosts, a clock tick in /proc is 10 ms. */
	private static final double TICKS_PER_SECOND = 100;

	private static final int FIELDS_BEFORE_UTIME = 11;

	private static final long STOP_SECONDS = 30;

	private static final int AGENT_PID_INDEX = 3;

	private static final int ENTRY_PID_INDEX = 5;

	private final String entryUrl;

	private final String apiKey;

	private final List<Long> pids;

	private LocalFleet(Map<String, String> output) {
		this.entryUrl = output.getOrDefault("BASE_URL", "");
		this.apiKey = output.getOrDefault("API_KEY", "");
		this.pids = Arrays.stream(output.getOrDefault("PIDS", "").split(" ", -1)).map(Long::valueOf).toList();
	}

	/**
	 * Starts the processes and tops up the account that sends the load.
	 * @param home the root directory of the project
	 * @param tokens the number of tokens to add
	 * @return the running fleet
	 * @throws IOException if the processes do not start or the top-up fails
	 * @throws InterruptedException if the thread is interrupted
	 */
	static LocalFleet start(Path home, long tokens) throws IOException, InterruptedException {
		ProcessBuilder quickstart = new ProcessBuilder(home.resolve("bin/quickstart").toString(), "--keep");
		quickstart.environment().put("QUICKSTART_PORT_BASE", Integer.toString(PORT_BASE));
		Map<String, String> output = new HashMap<>();
		Process process = quickstart.redirectError(ProcessBuilder.Redirect.INHERIT).start();
		try (BufferedReader reader = process.inputReader(StandardCharsets.UTF_8)) {
			String line = reader.readLine();
			while (line != null && !output.containsKey("PIDS")) {
				int equals = line.indexOf('=');
				if (line.matches("(BASE_URL|API_KEY|PIDS)=.*")) {
					output.put(line.substring(0, equals), line.substring(equals + 1));
				}
				line = (output.containsKey("PIDS")) ? null : reader.readLine();
			}
		}
		if (!output.containsKey("PIDS")) {
			throw new IOException("bin/quickstart --keep did not print the process ids of a running fleet");
		}
		LocalFleet fleet = new LocalFleet(output);
		fleet.topUp(home, tokens);
		return fleet;
	}

	private void topUp(Path home, long tokens) throws IOException, InterruptedException {
		ProcessBuilder verbenactl = new ProcessBuilder(home.resolve("bin/verbenactl").toString(), "account", "top-up",
				"counter", "--id", "load", "--tokens", Long.toString(tokens));
		verbenactl.environment().put("VERBENA_PLATFORM_URL", "http://127.0.0.1:" + PORT_BASE);
		verbenactl.environment().put("VERBENA_PLATFORM_TOKEN", "quickstart-platform-token");
		if (verbenactl.inheritIO().start().waitFor() != 0) {
			close();
			throw new IOException("verbenactl could not top up the account 'counter'");
		}
	}

	String entryUrl() {
		return this.entryUrl;
	}

	String engineUrl() {
		return "http://127.0.0.1:" + (PORT_BASE + 1) + "/v1";
	}

	String apiKey() {
		return this.apiKey;
	}

	double entryCpuSeconds() throws IOException {
		return cpuSeconds(this.pids.get(ENTRY_PID_INDEX));
	}

	double agentCpuSeconds() throws IOException {
		return cpuSeconds(this.pids.get(AGENT_PID_INDEX));
	}

	private static double cpuSeconds(long pid) throws IOException {
		String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		return (Long.parseLong(fields[FIELDS_BEFORE_UTIME]) + Long.parseLong(fields[FIELDS_BEFORE_UTIME + 1]))
				/ TICKS_PER_SECOND;
	}

	/**
	 * Stops the processes one after another: entries before agents, and agents before
	 * stand-ins, so that each can finish its journal.
	 */
	@Override
	public void close() {
		for (int i = this.pids.size() - 1; i >= 0; i--) {
			ProcessHandle.of(this.pids.get(i)).ifPresent(LocalFleet::stop);
		}
	}

	private static void stop(ProcessHandle process) {
		process.destroy();
		try {
			process.onExit().orTimeout(STOP_SECONDS, TimeUnit.SECONDS).join();
		}
		catch (CompletionException ex) {
			process.destroyForcibly();
		}
	}

}
