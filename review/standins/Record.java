package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the seconds since the start. */
final class Record implements AutoCloseable {

	private final long startNanos = System.nanoTime();

	private final PrintWriter out;

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	double seconds() {
		return (System.nanoTime() - this.startNanos) / 1e9;
	}

	synchronized void add(String text) {
		this.out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
		this.out.flush();
	}

	synchronized void result(String text) {
		add(text);
		System.out.println(text);
	}

	@Override
	public void close() {
		this.out.close();
	}

}
