import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, one line each, with the seconds since the start. */
final class Record implements AutoCloseable {

	private final PrintWriter out;

	private final long startNanos = System.nanoTime();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	synchronized void line(String format, Object... values) {
		this.out.println(
				String.format(Locale.ROOT, "%8.3f ", seconds()) + String.format(Locale.ROOT, format, values));
	}

	/** Writes a line that also appears on standard output. */
	void say(String format, Object... values) {
		line(format, values);
		System.out.println(String.format(Locale.ROOT, format, values));
	}

	double seconds() {
		return (System.nanoTime() - this.startNanos) / 1e9;
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
