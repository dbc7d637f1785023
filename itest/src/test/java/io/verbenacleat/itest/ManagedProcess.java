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
 * One program that a test runs as a process, with its output in a file. A restart begins
 * a new incarnation with the same flags. Signals go to the one process by its id. Used by
 * one thread.
 */
final class ManagedProcess implements AutoCloseable {

	private static final Duration STOP_TIMEOUT = Duration.ofSeconds(20);

	private final String name;

	private final List<String> command;

	private final Map<String, String> environment;

	private final Path outputFile;

	private @Nullable Process process;

	/**
	 * Creates a process that is not started.
	 * @param name the name
	 * @param command program and flags
	 * @param environment variables that are added
	 * @param directory where the output goes
	 */
	ManagedProcess(String name, List<String> command, Map<String, String> environment, Path directory) {
		this.name = name;
		this.command = List.copyOf(command);
		this.environment = Map.copyOf(environment);
		this.outputFile = directory.resolve(name + ".log");
	}

	/**
	 * Starts the program, or starts it again after it ended.
	 * @throws IOException when it cannot be started
	 */
	void start() throws IOException {
		ProcessBuilder builder = new ProcessBuilder(this.command).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.outputFile.toFile()));
		builder.environment().putAll(this.environment);
		Process started = builder.start();
		this.process = started;
		// A test run that is ended early must not leave processes behind.
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
	 * Returns whether the process runs or is stopped by a signal.
	 * @return {@code true} until it ended
	 */
	boolean isAlive() {
		return this.process != null && this.process.isAlive();
	}

	/**
	 * Returns the output so far, of all incarnations.
	 * @return the text
	 * @throws IOException when the file cannot be read
	 */
	String readOutput() throws IOException {
		return (Files.exists(this.outputFile)) ? Files.readString(this.outputFile) : "";
	}

	/**
	 * Sends a signal.
	 * @param signal its name, such as {@code KILL}, {@code STOP}, {@code CONT} or
	 * {@code TERM}
	 * @throws IOException when the signal cannot be sent
	 */
	void signal(String signal) throws IOException {
		Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(startedProcess().pid())).start();
		if (awaitExitCode(kill, STOP_TIMEOUT) != 0) {
			throw new IOException("Signal " + signal + " to " + this.name + " failed");
		}
	}

	/**
	 * Kills the process and waits for its end.
	 * @throws IOException when the signal cannot be sent
	 */
	void kill() throws IOException {
		signal("KILL");
		awaitExitCode(STOP_TIMEOUT);
	}

	/**
	 * Waits for the end of the process.
	 * @param timeout the longest wait
	 * @return the exit code
	 * @throws AssertionError when it does not end within the deadline
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
