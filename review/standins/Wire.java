package review;

import java.io.IOException;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Properties;

/** The names of the platform's wire, read from a text file. */
final class Wire {

	static final Path FOLDER = Path.of("review", "standins");

	private static final Properties NAMES = load();

	private Wire() {
	}

	static String name(String key) {
		String value = NAMES.getProperty(key);
		if (value == null) {
			throw new IllegalArgumentException("no wire name " + key);
		}
		return value;
	}

	static String text(String file) throws IOException {
		return Files.readString(FOLDER.resolve(file));
	}

	private static Properties load() {
		Properties names = new Properties();
		try (Reader reader = Files.newBufferedReader(FOLDER.resolve("wire.properties"), StandardCharsets.UTF_8)) {
			names.load(reader);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
		return names;
	}

}
