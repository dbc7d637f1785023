package io.verbenacleat.ctl;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import io.verbenacleat.core.config.ConfigException;
import io.verbenacleat.core.config.ConfigFiles;
import io.verbenacleat.core.config.ConfigLoader;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.json.Json;
import org.jspecify.annotations.Nullable;

/**
 * Compares the merged configurations of all sites, value by value. Stateless.
 */
final class ConfigDiff {

	private ConfigDiff() {
	}

	static List<Change> between(@Nullable ConfigFiles before, ConfigFiles after) throws ConfigException {
		return between((before != null) ? flatten(before) : Map.of(), flatten(after));
	}

	private static List<Change> between(Map<String, Map<String, String>> before,
			Map<String, Map<String, String>> after) {
		List<Change> changes = new ArrayList<>();
		Set<String> sites = new TreeSet<>(before.keySet());
		sites.addAll(after.keySet());
		for (String site : sites) {
			Map<String, String> old = before.getOrDefault(site, Map.of());
			Map<String, String> next = after.getOrDefault(site, Map.of());
			Set<String> paths = new TreeSet<>(old.keySet());
			paths.addAll(next.keySet());
			for (String path : paths) {
				String from = old.get(path);
				String to = next.get(path);
				if (from == null || !from.equals(to)) {
					changes.add(new Change(site, path, from, to));
				}
			}
		}
		return changes;
	}

	private static Map<String, Map<String, String>> flatten(ConfigFiles files) throws ConfigException {
		ConfigLoader loader = new ConfigLoader();
		Map<String, Map<String, String>> bySite = new TreeMap<>();
		for (Map.Entry<String, OfficeConfig> entry : loader.loadAll(files).entrySet()) {
			Map<String, String> values = new TreeMap<>();
			flatten("", Json.mapper().valueToTree(entry.getValue()), values);
			flatten("sites", Json.mapper().valueToTree(loader.sites(files, entry.getKey())), values);
			values.remove("version");
			bySite.put(entry.getKey(), values);
		}
		return bySite;
	}

	private static void flatten(String path, JsonNode node, Map<String, String> values) {
		if (node.isObject()) {
			node.properties()
				.forEach((entry) -> flatten(((path.isEmpty()) ? "" : path + ".") + entry.getKey(), entry.getValue(),
						values));
		}
		else if (node.isArray() && !node.isEmpty() && node.get(0).has("name")) {
			node.forEach((element) -> flatten(path + "[" + element.path("name").asText() + "]", element, values));
		}
		else {
			values.put(path, (node.isValueNode()) ? node.asText() : node.toString());
		}
	}

	/**
	 * A value that differs; {@code null} stands for an absent value.
	 */
	record Change(String site, String path, @Nullable String from, @Nullable String to) {
	}

}
