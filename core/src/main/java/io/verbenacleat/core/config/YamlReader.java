package io.verbenacleat.core.config;

import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.events.CollectionEndEvent;
import org.yaml.snakeyaml.events.CollectionStartEvent;
import org.yaml.snakeyaml.events.Event;
import org.yaml.snakeyaml.events.NodeEvent;

/**
 * Parses a YAML document into a tree. Rejects texts over 1 MiB, duplicate keys, anchors
 * and aliases, deep nesting and more than one document. Safe for use by several threads.
 */
final class YamlReader {

	static final int MAX_BYTES = 1024 * 1024;

	/** The configuration needs 6 levels. */
	private static final int MAX_DEPTH = 20;

	private static final String ROOT = "/";

	private final YAMLFactory factory = YAMLFactory.builder()
		.streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.build();

	private final ObjectMapper mapper = new ObjectMapper(this.factory)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

	JsonNode read(ConfigText source) throws ConfigException {
		int bytes = source.text().getBytes(StandardCharsets.UTF_8).length;
		if (bytes > MAX_BYTES) {
			throw problem(source, ROOT, bytes + " bytes", "at most " + MAX_BYTES + " bytes");
		}
		try {
			checkAnchorsAndDepth(source);
			JsonNode tree = this.mapper.readTree(source.text());
			if (tree == null || !tree.isObject()) {
				throw problem(source, ROOT, "no object at the top", "an object with the configuration of an office");
			}
			return tree;
		}
		catch (JsonProcessingException ex) {
			String path = (ex.getLocation() != null) ? "line " + ex.getLocation().getLineNr() : ROOT;
			throw problem(source, path, firstLine(ex.getOriginalMessage()),
					"one valid YAML document without duplicate keys, at most " + MAX_DEPTH + " levels deep");
		}
		catch (MarkedYAMLException ex) {
			String path = (ex.getProblemMark() != null) ? "line " + (ex.getProblemMark().getLine() + 1) : ROOT;
			throw problem(source, path, firstLine(String.valueOf(ex.getProblem())), "one valid YAML document");
		}
		catch (YAMLException | IllegalArgumentException ex) {
			throw problem(source, ROOT, firstLine(String.valueOf(ex.getMessage())), "one valid YAML document");
		}
	}

	// Reads the events of the YAML parser, since the Jackson parser does not report the
	// anchors of scalars.
	private static void checkAnchorsAndDepth(ConfigText source) throws ConfigException {
		int depth = 0;
		for (Event event : new Yaml().parse(new StringReader(source.text()))) {
			String line = "line " + (event.getStartMark().getLine() + 1);
			if (event instanceof NodeEvent node && node.getAnchor() != null) {
				throw problem(source, line, "an anchor or alias", "YAML without anchors and aliases");
			}
			if (event instanceof CollectionStartEvent) {
				depth++;
			}
			else if (event instanceof CollectionEndEvent) {
				depth--;
			}
			if (depth > MAX_DEPTH) {
				throw problem(source, line, "deeper nesting", "at most " + MAX_DEPTH + " levels");
			}
		}
	}

	private static String firstLine(String text) {
		return text.lines().findFirst().orElse("nothing");
	}

	private static ConfigException problem(ConfigText source, String path, String found, String allowed) {
		return new ConfigException(List.of(new ConfigProblem(source.file(), path, found, allowed)));
	}

}
