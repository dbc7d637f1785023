package review;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

/** One router process, started with the command of the deploy file. */
final class Router implements AutoCloseable {

	final String ip;

	private final Path folder;

	private Process process;

	Router(Path folder, String node, String ip, String store, List<String> seedIps) throws IOException {
		this.ip = ip;
		this.folder = Files.createDirectories(folder.resolve(node));
		String seeds = seedIps.stream().map((seed) -> "\"" + seed + ":8748\"").collect(Collectors.joining(","));
		Files.writeString(this.folder.resolve("boot.toml"),
				Wire.text("settings.toml")
					.replace("@NODE@", node)
					.replace("@IP@", ip)
					.replace("@SEEDS@", seeds)
					.replace("@STORE@", store));
	}

	void start() throws IOException {
		JsonNode deploy = new TomlMapper().readTree(Path.of("deploy", "system.toml").toFile());
		String[] run = deploy.path("roles").path("router").path("run").asText().split(" ");
		ProcessBuilder builder = new ProcessBuilder(run).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.folder.resolve("output").toFile()));
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put(Wire.name("settingsVariable"), this.folder.resolve("boot.toml").toString());
		Process started = builder.start();
		this.process = started;
		Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
	}

	boolean awaitReady(long timeoutMs) throws InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
		while (System.nanoTime() < endNanos) {
			if (isReady()) {
				return true;
			}
			Thread.sleep(50);
		}
		return false;
	}

	boolean isReady() {
		try {
			HttpURLConnection connection = (HttpURLConnection) URI.create("http://" + this.ip + ":8749/ready")
				.toURL()
				.openConnection();
			connection.setConnectTimeout(500);
			connection.setReadTimeout(500);
			return connection.getResponseCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/** Sends SIGTERM. */
	void terminate() {
		this.process.destroy();
	}

	/** Sends SIGKILL. */
	void kill() throws InterruptedException {
		this.process.destroyForcibly().waitFor();
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	long pid() {
		return this.process.pid();
	}

	String output() throws IOException {
		return Files.readString(this.folder.resolve("output"));
	}

	@Override
	public void close() {
		if (this.process != null) {
			this.process.destroyForcibly();
		}
	}

}
