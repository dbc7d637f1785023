import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The router as a process of its own, started with the command of the deploy file. */
final class Router implements AutoCloseable {

	static final int CALLER_PORT = 8740;

	private static final int READY_PORT = 8749;

	private final String name;

	private final String host;

	private final Path folder;

	private final Path kit;

	private final Record record;

	private final List<String> command;

	private final String template;

	private Process process;

	Router(String name, String host, Path repository, Path folder, Record record) throws IOException {
		this.name = name;
		this.host = host;
		this.folder = folder;
		this.kit = repository;
		this.record = record;
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
			.matcher(Files.readString(repository.resolve("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("The deploy file has no command");
		}
		this.command = new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
		this.template = Files.readString(repository.resolve("review/kit-2/settings.toml"));
	}

	String host() {
		return this.host;
	}

	/** Renders the settings as of now and starts the process. */
	void start(String store, List<String> seeds, boolean first) throws IOException {
		Path settings = this.folder.resolve(this.name + ".toml");
		Files.writeString(settings,
				this.template.replace("@NAME@", this.name)
					.replace("@IP@", this.host)
					.replace("@FIRST@", Boolean.toString(first))
					.replace("@STORE@", store)
					.replace("@SEEDS@", String.join(",", seeds.stream().map((seed) -> '"' + seed + ":8748\"").toList())));
		ProcessBuilder builder = new ProcessBuilder(this.command).directory(this.kit.toFile())
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.folder.resolve(this.name + ".log").toFile()));
		builder.environment().put(Wire.name("settings.variable"), settings.toString());
		this.process = builder.start();
		this.record.line("router %s starts as process %d, first start of the system: %b", this.name,
				this.process.pid(), first);
	}

	/** Sends a signal by its name. */
	void signal(String signal) throws IOException, InterruptedException {
		this.record.line("router %s gets SIG%s", this.name, signal);
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).inheritIO().start().waitFor();
	}

	void kill() throws InterruptedException {
		this.record.line("router %s is killed", this.name);
		this.process.destroyForcibly().waitFor();
	}

	boolean isRunning() {
		return this.process.isAlive();
	}

	boolean exitsWithin(long ms) throws InterruptedException {
		return this.process.waitFor(ms, TimeUnit.MILLISECONDS);
	}

	int exitCode() {
		return this.process.exitValue();
	}

	/** Returns the status of the readiness check, 0 without an answer. */
	int ready() {
		try {
			HttpURLConnection connection = (HttpURLConnection) URI.create("http://" + this.host + ":" + READY_PORT + "/ready")
				.toURL()
				.openConnection();
			connection.setConnectTimeout(1_000);
			connection.setReadTimeout(1_000);
			return connection.getResponseCode();
		}
		catch (IOException ex) {
			return 0;
		}
	}

	void awaitReady(int status, long timeoutMs) throws IOException, InterruptedException {
		long endNanos = System.nanoTime() + timeoutMs * 1_000_000;
		while (ready() != status) {
			if (System.nanoTime() > endNanos) {
				throw new IOException("Router " + this.name + " does not answer " + status);
			}
			Thread.sleep(20);
		}
		this.record.line("router %s answers %d to the readiness check", this.name, status);
	}

	@Override
	public void close() throws InterruptedException {
		if (this.process != null) {
			this.process.destroyForcibly().waitFor();
		}
	}

}
