package io.verbenacleat.itest;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Runs stand-ins and a small fleet as processes on free loopback ports: two sites, three
 * entries and three agents. {@link #close} ends only the processes that it started. Not
 * thread-safe.
 *
 * <pre>{@code
 * try (ProcessFleet fleet = ProcessFleet.start(20)) {
 *     fleet.process("entry-0").kill();
 *     fleet.restart("entry-0");
 * }
 * }</pre>
 */
final class ProcessFleet implements AutoCloseable {

	/** The names of the entries; the first two are in the same site. */
	static final List<String> ENTRIES = List.of("entry-0", "entry-1", "entry-2");

	private static final Map<String, String> SERVER_BY_AGENT = Map.of("agent-1", "engine-1", "agent-2", "engine-2",
			"agent-3", "booking-1");

	private static final Duration START_TIMEOUT = Duration.ofSeconds(60);

	private static final Pattern LISTENING = Pattern.compile("listening on http://[^:]+:(\\d+)");

	private static final String FLEET_SECRET = "itest-fleet-secret";

	private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();

	private final Map<String, FleetNode> nodes = new LinkedHashMap<>();

	private final Map<String, Integer> standinPorts = new LinkedHashMap<>();

	private final Path projectRoot = findProjectRoot();

	private final Path outputDirectory;

	private final FleetLinks links;

	private final FleetAdmin admin;

	private ProcessFleet(long tokenIntervalMs) throws Exception {
		this.outputDirectory = Files.createTempDirectory("verbena-itest");
		startStandins(tokenIntervalMs);
		createNodes();
		this.links = new FleetLinks(List.copyOf(this.nodes.values()), standinPort("platform"));
		this.admin = new FleetAdmin(standinPort("platform"));
		this.nodes.values().forEach(this::createProcess);
	}

	/**
	 * Starts a fleet and waits until every entry and agent is ready.
	 * @param tokenIntervalMs the time between two tokens of the engines, in milliseconds
	 * @return the fleet
	 * @throws Exception when a process cannot be started
	 */
	static ProcessFleet start(long tokenIntervalMs) throws Exception {
		ProcessFleet fleet = new ProcessFleet(tokenIntervalMs);
		try {
			fleet.admin.applyConfig();
			for (String name : fleet.nodes.keySet()) {
				fleet.process(name).start();
			}
			for (String name : fleet.nodes.keySet()) {
				fleet.awaitReady(name);
			}
			return fleet;
		}
		catch (Exception | AssertionError ex) {
			fleet.close();
			throw ex;
		}
	}

	/**
	 * Returns the client for the operator's tasks.
	 * @return the client, closed with the fleet
	 */
	FleetAdmin admin() {
		return this.admin;
	}

	/**
	 * Returns a process.
	 * @param name the name of a stand-in, entry or agent
	 * @return the process
	 * @throws IllegalArgumentException when there is no such process
	 */
	ManagedProcess process(String name) {
		ManagedProcess process = this.processes.get(name);
		if (process == null) {
			throw new IllegalArgumentException("Unknown process: " + name);
		}
		return process;
	}

	/**
	 * Returns the link from a process to another or to the platform.
	 * @param from the name of the process that connects
	 * @param to the name of the other process, or {@link FleetLinks#PLATFORM}
	 * @return the relay
	 */
	LinkRelay link(String from, String to) {
		return FleetLinks.link(node(from), to);
	}

	/**
	 * Ends the cuts and delays of all links.
	 */
	void heal() {
		this.links.heal();
	}

	/**
	 * Restarts an ended process as a new incarnation and waits until it is ready.
	 * @param name the name of the entry or agent
	 * @throws IOException when it cannot be started
	 */
	void restart(String name) throws IOException {
		process(name).start();
		awaitReady(name);
	}

	/**
	 * Waits until the readiness check of a process succeeds.
	 * @param name the name of the entry or agent
	 */
	void awaitReady(String name) {
		String url = "http://127.0.0.1:" + node(name).adminPort() + "/health/ready";
		Await.until(name + " is ready", START_TIMEOUT, () -> StandinClient.status(URI.create(url)) == 200);
	}

	/**
	 * Returns the base URL of an entry for callers.
	 * @param entry the name of the entry
	 * @return the URL without a path
	 */
	String url(String entry) {
		return "http://127.0.0.1:" + node(entry).httpPort();
	}

	/**
	 * Returns a client for the records and faults of the stand-ins.
	 * @return a new client
	 */
	StandinClient standins() {
		return new StandinClient(this.standinPorts);
	}

	/**
	 * Returns the directory with the output files of the processes.
	 * @return the directory
	 */
	Path outputDirectory() {
		return this.outputDirectory;
	}

	@Override
	public void close() {
		List<ManagedProcess> started = new ArrayList<>(this.processes.values());
		for (int index = started.size() - 1; index >= 0; index--) {
			started.get(index).close();
		}
		this.links.close();
		this.admin.close();
	}

	private void startStandins(long tokenIntervalMs) throws IOException {
		startStandin("platform", "standin-platform", List.of("--host-list-lag-ms", "0"));
		List<String> engine = List.of("--models", "model-a", "--first-token-ms", "20", "--token-interval-ms",
				Long.toString(tokenIntervalMs), "--check-fencing");
		startStandin("engine-1", "standin-engine", engine);
		startStandin("engine-2", "standin-engine", engine);
		startStandin("booking-1", "standin-booking", List.of("--delay-ms", "100"));
		for (String name : List.of("platform", "engine-1", "engine-2", "booking-1")) {
			Await.until(name + " listens", START_TIMEOUT, () -> {
				Matcher matcher = LISTENING.matcher(process(name).readOutput());
				return matcher.find() && this.standinPorts.put(name, Integer.valueOf(matcher.group(1))) == null;
			});
		}
	}

	private void startStandin(String name, String program, List<String> flags) throws IOException {
		List<String> command = new ArrayList<>(List.of(programPath(program)));
		command.addAll(flags);
		ManagedProcess process = new ManagedProcess(name, command, Map.of(), this.outputDirectory);
		this.processes.put(name, process);
		process.start();
	}

	private void createNodes() {
		PortAllocator ports = new PortAllocator();
		for (String agent : List.of("agent-1:west", "agent-2:east", "agent-3:west")) {
			addNode(agent, ports);
		}
		for (String entry : List.of("entry-0:west", "entry-1:west", "entry-2:east")) {
			addNode(entry, ports);
		}
	}

	private void addNode(String nameAndSite, PortAllocator ports) {
		int colon = nameAndSite.indexOf(':');
		FleetNode node = new FleetNode(nameAndSite.substring(0, colon), nameAndSite.substring(colon + 1), ports);
		this.nodes.put(node.name(), node);
	}

	private FleetNode node(String name) {
		FleetNode node = this.nodes.get(name);
		if (node == null) {
			throw new IllegalArgumentException("Unknown entry or agent: " + name);
		}
		return node;
	}

	private int standinPort(String name) {
		return this.standinPorts.getOrDefault(name, 0);
	}

	private String programPath(String name) {
		return this.projectRoot.resolve("bin").resolve(name).toString();
	}

	private static Path findProjectRoot() {
		Path path = Path.of("").toAbsolutePath();
		while (path != null && !Files.exists(path.resolve("bin/verbena-entry"))) {
			path = path.getParent();
		}
		if (path == null) {
			throw new IllegalStateException("bin/verbena-entry not found in the working directory or a parent of it");
		}
		return path;
	}

	private void createProcess(FleetNode node) {
		List<String> command = new ArrayList<>(List.of(
				programPath((node.isEntry()) ? "verbena-entry" : "verbena-agent"), "--name", node.name(), "--region",
				"region-1", "--zone", "zone-" + node.site(), "--site", node.site(), "--host", "127.0.0.1", "--rpc-port",
				Integer.toString(node.rpcPort()), "--admin-port", Integer.toString(node.adminPort())));
		if (node.isEntry()) {
			command.addAll(List.of("--http-port", Integer.toString(node.httpPort())));
		}
		else {
			String server = SERVER_BY_AGENT.getOrDefault(node.name(), "");
			command.addAll(List.of("--server", server, "--backend-url", "http://127.0.0.1:" + standinPort(server)));
		}
		Map<String, String> environment = Map.of("VERBENA_PLATFORM_URL",
				"http://127.0.0.1:" + FleetLinks.link(node, FleetLinks.PLATFORM).port(), "VERBENA_PLATFORM_TOKEN",
				"itest-platform-token", "VERBENA_FLEET_SECRET", FLEET_SECRET);
		this.processes.put(node.name(), new ManagedProcess(node.name(), command, environment, this.outputDirectory));
	}

}
