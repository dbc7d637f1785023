package io.verbenacleat.itest;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * A program that a test runs as a process, with its output in a file. A restart uses the
 * same flags and begins a new incarnation. Signals are sent to this process only, by its
 * process id. Not thread-safe.
 */
final class ManagedProcess implements AutoCloseable {

	private static final Duration STOP_TIMEOUT = Duration.ofSeconds(20);

	private final String name;

	private final List<String> command;

	private final Map<String, String> environment;

	private final Path outputFile;

	private @Nullable Process process;

	/**
	 * Creates a process without starting it.
	 * @param name the name, also of the output file
	 * @param command the program and its flags
	 * @param environment the variables to add to the environment of the test
	 * @param directory the directory of the output file
	 */
	ManagedProcess(String name, List<String> command, Map<String, String> environment, Path directory) {
		this.name = name;
		this.command = List.copyOf(command);
		this.environment = Map.copyOf(environment);
		this.outputFile = directory.resolve(name + ".log");
	}

	/**
	 * Starts the program, or restarts it after it has ended.
	 * @throws IOException when it cannot be started
	 */
	void start() throws IOException {
		ProcessBuilder builder = new ProcessBuilder(this.command).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.outputFile.toFile()));
		builder.environment().putAll(this.environment);
		Process started = builder.start();
		this.process = started;
		// An aborted test run must not leave processes behind.
		Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
	}

	/**
	 * Returns the name.
	 * @return the name
	 */
	String name() {
		return this.name;
	}

	/**
	 * Returns whether the process exists, running or suspended.
	 * @return {@code true} from its start to its end
	 */
	boolean isAlive() {
		return this.process != null && this.process.isAlive();
	}

	/**
	 * Reads the output of all incarnations so far.
	 * @return the text, empty before the first start
	 * @throws IOException when the file cannot be read
	 */
	String readOutput() throws IOException {
		return (Files.exists(this.outputFile)) ? Files.readString(this.outputFile) : "";
	}

	/**
	 * Sends a signal.
	 * @param signal the name of the signal, such as {@code KILL}, {@code STOP},
	 * {@code CONT} or {@code TERM}
	 * @throws IOException when the signal cannot be sent
	 */
	void signal(String signal) throws IOException {
		Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(startedProcess().pid())).start();
		if (awaitExitCode(kill, STOP_TIMEOUT) != 0) {
			throw new IOException("Signal " + signal + " to process " + this.name + " failed");
		}
	}

	/**
	 * Sends SIGKILL and waits until the process has ended.
	 * @throws IOException when the signal cannot be sent
	 */
	void kill() throws IOException {
		signal("KILL");
		awaitExitCode(STOP_TIMEOUT);
	}

	/**
	 * Waits until the process has ended.
	 * @param timeout the maximum time to wait
	 * @return the exit code
	 * @throws AssertionError when it does not end in time
	 */
	int awaitExitCode(Duration timeout) {
		return awaitExitCode(startedProcess(), timeout);
	}

	@Override
	public void close() {
		if (this.process != null) {
			this.process.destroyForcibly();
			awaitExitCode(STOP_TIMEOUT);
		}
	}

	private Process startedProcess() {
		if (this.process == null) {
			throw new IllegalStateException(this.name + " was not started");
		}
		return this.process;
	}

	private int awaitExitCode(Process target, Duration timeout) {
		try {
			if (target.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
				return target.exitValue();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		throw new AssertionError(this.name + " did not end within " + timeout);
	}

}
