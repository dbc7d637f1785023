package io.verbenacleat.core.config;

import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Merges the tree of an overlay into the tree of a base file. Objects are merged
 * recursively, lists whose elements all have a name are merged by name, and any other
 * value of the overlay replaces that of the base. List elements that only the overlay has
 * are appended. Stateless; does not modify its arguments.
 */
public final class OverlayMerger {

	private static final String NAME = "name";

	private OverlayMerger() {
	}

	/**
	 * Merges an overlay into a copy of a base.
	 * @param base the base
	 * @param overlay the overlay, whose values take precedence
	 * @return the merged tree, a new one
	 */
	public static JsonNode merge(JsonNode base, JsonNode overlay) {
		if (base instanceof ObjectNode baseObject && overlay instanceof ObjectNode overlayObject) {
			return mergeObjects(baseObject, overlayObject);
		}
		if (isNamedList(base) && isNamedList(overlay)) {
			return mergeLists(base, overlay);
		}
		return overlay.deepCopy();
	}

	private static JsonNode mergeObjects(ObjectNode base, ObjectNode overlay) {
		ObjectNode merged = base.deepCopy();
		overlay.properties().forEach((entry) -> {
			JsonNode baseValue = merged.get(entry.getKey());
			merged.set(entry.getKey(),
					(baseValue != null) ? merge(baseValue, entry.getValue()) : entry.getValue().deepCopy());
		});
		return merged;
	}

	private static JsonNode mergeLists(JsonNode base, JsonNode overlay) {
		Map<String, JsonNode> byName = new LinkedHashMap<>();
		base.forEach((element) -> byName.put(element.get(NAME).asText(), element.deepCopy()));
		overlay
			.forEach((element) -> byName.merge(element.get(NAME).asText(), element.deepCopy(), OverlayMerger::merge));
		ArrayNode merged = JsonNodeFactory.instance.arrayNode();
		merged.addAll(byName.values());
		return merged;
	}

	private static boolean isNamedList(JsonNode node) {
		if (!node.isArray()) {
			return false;
		}
		for (JsonNode element : node) {
			if (!element.path(NAME).isTextual()) {
				return false;
			}
		}
		return true;
	}

}
