package io.verbenacleat.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.verbenacleat.core.config.ConfigFiles;
import io.verbenacleat.core.config.ConfigText;
import io.verbenacleat.core.daemon.UsageException;

/**
 * Reads the configuration files that the flags of a command specify. Stateless.
 */
final class ConfigFileReader {

	// The loader rejects such a file too; this limit bounds the memory for reading it.
	private static final long MAX_READ_BYTES = 16L * 1024 * 1024;

	private ConfigFileReader() {
	}

	static ConfigFiles read(String base, List<String> overlays) throws UsageException, CommandFailedException {
		Map<String, ConfigText> texts = new TreeMap<>();
		for (String overlay : overlays) {
			int separator = overlay.indexOf('=');
			if (separator < 1 || separator == overlay.length() - 1) {
				throw new UsageException("--overlay: found '" + overlay + "', allowed is SITE=FILE");
			}
			String site = overlay.substring(0, separator);
			if (texts.put(site, readText(overlay.substring(separator + 1))) != null) {
				throw new UsageException("--overlay: found site '" + site + "' again, allowed is one file for each");
			}
		}
		return new ConfigFiles(readText(base), texts);
	}

	private static ConfigText readText(String file) throws CommandFailedException {
		try {
			Path path = Path.of(file);
			if (!Files.isRegularFile(path) || Files.size(path) > MAX_READ_BYTES) {
				throw new CommandFailedException(file + ": not a file of at most 1 MiB");
			}
			return new ConfigText(file, Files.readString(path));
		}
		catch (IOException | InvalidPathException ex) {
			throw new CommandFailedException(file + ": not readable as UTF-8 text");
		}
	}

}
