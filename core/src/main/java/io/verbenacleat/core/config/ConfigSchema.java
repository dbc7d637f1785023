package io.verbenacleat.core.config;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import io.verbenacleat.core.json.Json;

/**
 * Checks trees against the JSON schema of the configuration. The {@code description} of a
 * schema node is the text of the allowed values in the problems found there. Safe for use
 * by several threads.
 */
final class ConfigSchema {

	private static final String RESOURCE = "office-config.schema.json";

	private static final String REQUIRED = "required";

	private static final String PROPERTIES = "properties";

	private static final String NAME = "name";

	private final JsonNode root;

	private final JsonSchema mergedSchema;

	private final JsonSchema fileSchema;

	ConfigSchema() {
		this.root = readResource();
		this.mergedSchema = compile(this.root);
		this.fileSchema = compile(withoutRequired(this.root.deepCopy()));
	}

	// Requires no keys but names, since base and overlay complete each other.
	List<ConfigProblem> checkFile(String file, JsonNode tree) {
		return check(this.fileSchema, file, tree);
	}

	List<ConfigProblem> checkMerged(String file, JsonNode tree) {
		return check(this.mergedSchema, file, tree);
	}

	private List<ConfigProblem> check(JsonSchema schema, String file, JsonNode tree) {
		List<ConfigProblem> problems = new ArrayList<>();
		for (ValidationMessage message : schema.validate(tree)) {
			problems.add(problem(file, tree, message));
		}
		return problems.stream().distinct().toList();
	}

	private ConfigProblem problem(String file, JsonNode tree, ValidationMessage message) {
		JsonNode value = tree;
		JsonNode schema = this.root;
		StringBuilder path = new StringBuilder();
		for (int i = 0; i < message.getInstanceLocation().getNameCount(); i++) {
			Object element = message.getInstanceLocation().getElement(i);
			if (element instanceof Integer index) {
				value = value.path(index);
				schema = schema.path("items");
				path.append('[').append(value.path(NAME).asText(String.valueOf(index))).append(']');
			}
			else {
				value = value.path(element.toString());
				schema = schema.path(PROPERTIES).path(element.toString());
				path.append((path.isEmpty()) ? "" : ".").append(element);
			}
		}
		String property = message.getProperty();
		if (property == null) {
			return new ConfigProblem(file, (path.isEmpty()) ? "/" : path.toString(), describe(value),
					schema.path("description").asText());
		}
		path.append((path.isEmpty()) ? "" : ".").append(property);
		JsonNode propertySchema = schema.path(PROPERTIES).path(property);
		if (propertySchema.isMissingNode()) {
			return new ConfigProblem(file, path.toString(), "an unknown key",
					"one of the keys " + String.join(", ", names(schema.path(PROPERTIES))));
		}
		return new ConfigProblem(file, path.toString(), "nothing", propertySchema.path("description").asText());
	}

	static String describe(JsonNode value) {
		if (value.isArray()) {
			return "a list of " + value.size();
		}
		return (value.isObject()) ? "an object"
				: value.getNodeType().name().toLowerCase(Locale.ROOT) + " '" + value.asText() + "'";
	}

	private static List<String> names(JsonNode properties) {
		List<String> names = new ArrayList<>();
		properties.fieldNames().forEachRemaining(names::add);
		return names;
	}

	private static JsonNode withoutRequired(JsonNode node) {
		if (node instanceof ObjectNode object) {
			if (object.get(REQUIRED) instanceof ArrayNode required) {
				boolean requiresName = false;
				for (JsonNode element : required) {
					requiresName |= NAME.equals(element.asText());
				}
				required.removeAll();
				if (requiresName) {
					required.add(NAME);
				}
			}
		}
		node.forEach(ConfigSchema::withoutRequired);
		return node;
	}

	private static JsonSchema compile(JsonNode schema) {
		SchemaValidatorsConfig config = SchemaValidatorsConfig.builder().locale(Locale.ROOT).build();
		return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(schema, config);
	}

	private static JsonNode readResource() {
		try (InputStream in = ConfigSchema.class.getResourceAsStream(RESOURCE)) {
			if (in == null) {
				throw new IllegalStateException("Missing resource " + RESOURCE);
			}
			return Json.mapper().readTree(in);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
