import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Properties;

/** The names of the platform's protocol, from a text file. */
final class Wire {

	private static final Properties NAMES = new Properties();

	private Wire() {
	}

	static void load(Path folder) throws IOException {
		try (Reader reader = Files.newBufferedReader(folder.resolve("wire.properties"))) {
			NAMES.load(reader);
		}
	}

	static String name(String key) {
		String name = NAMES.getProperty(key);
		if (name == null) {
			throw new IllegalArgumentException("No wire name " + key);
		}
		return name;
	}

}
