package io.verbenacleat.core.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.jspecify.annotations.Nullable;

/**
 * Loads the configuration of a site from the texts of the base file and the overlay:
 * parses and merges them, checks the result against the schema, and then checks the
 * references in it. Safe for use by several threads.
 *
 * <pre>{@code
 * OfficeConfig config = new ConfigLoader().load(stored.number(), stored.files(), "austin");
 * }</pre>
 */
public final class ConfigLoader {

	private final YamlReader reader = new YamlReader();

	private final ConfigSchema schema = new ConfigSchema();

	/**
	 * Loads the configuration of one site.
	 * @param version the number of the stored version, 0 if read from files
	 * @param files the files
	 * @param site the name of a site that the configuration lists
	 * @return the configuration
	 * @throws ConfigException if the base file or the overlay of the site is rejected, or
	 * the site is not listed
	 */
	public OfficeConfig load(long version, ConfigFiles files, String site) throws ConfigException {
		Set<ConfigProblem> problems = new LinkedHashSet<>();
		JsonNode base = readFile(files.base(), problems);
		ConfigText overlayText = files.overlays().get(site);
		JsonNode overlay = (overlayText != null) ? readFile(overlayText, problems) : null;
		OfficeConfig config = (base != null && (overlayText == null || overlay != null))
				? mergeAndCheck(version, files.base(), base, overlayText, overlay, problems) : null;
		if (base != null && problems.isEmpty() && !siteNames(base, overlay).contains(site)) {
			problems.add(new ConfigProblem(files.base().file(), "sites", "no site '" + site + "'",
					"one of " + String.join(", ", siteNames(base, overlay))));
		}
		if (config == null || !problems.isEmpty()) {
			throw new ConfigException(List.copyOf(problems));
		}
		return config;
	}

	/**
	 * Loads and checks the configurations of all sites.
	 * @param files the files
	 * @return the configurations by site
	 * @throws ConfigException with the problems of all files, if any has a problem
	 */
	public Map<String, OfficeConfig> loadAll(ConfigFiles files) throws ConfigException {
		Set<ConfigProblem> problems = new LinkedHashSet<>();
		Map<String, OfficeConfig> configs = new TreeMap<>();
		Set<String> sites = new LinkedHashSet<>(files.overlays().keySet());
		JsonNode base = readFile(files.base(), problems);
		if (base != null) {
			sites.addAll(siteNames(base, null));
		}
		// If there is no site, loading one that does not exist reports all other
		// problems.
		for (String site : (sites.isEmpty()) ? Set.of("") : sites) {
			try {
				configs.put(site, load(0, files, site));
			}
			catch (ConfigException ex) {
				problems.addAll(ex.problems());
			}
		}
		if (!problems.isEmpty()) {
			throw new ConfigException(List.copyOf(problems));
		}
		return configs;
	}

	/**
	 * Reads the list of sites in the configuration of one site.
	 * @param files the files, which must have passed {@link #loadAll}
	 * @param site the name of the site whose overlay is merged
	 * @return the sites
	 * @throws ConfigException if a file cannot be parsed
	 */
	public List<SiteConfig> sites(ConfigFiles files, String site) throws ConfigException {
		JsonNode merged = this.reader.read(files.base());
		ConfigText overlay = files.overlays().get(site);
		if (overlay != null) {
			merged = OverlayMerger.merge(merged, this.reader.read(overlay));
		}
		List<SiteConfig> sites = new ArrayList<>();
		merged.path("sites")
			.forEach((node) -> sites.add(new SiteConfig(node.path("name").asText(), node.path("zone").asText())));
		return sites;
	}

	private @Nullable JsonNode readFile(ConfigText text, Set<ConfigProblem> problems) {
		try {
			JsonNode tree = this.reader.read(text);
			problems.addAll(this.schema.checkFile(text.file(), tree));
			checkUniqueNames(text.file(), "", tree, problems);
			return tree;
		}
		catch (ConfigException ex) {
			problems.addAll(ex.problems());
			return null;
		}
	}

	private @Nullable OfficeConfig mergeAndCheck(long version, ConfigText baseText, JsonNode base,
			@Nullable ConfigText overlayText, @Nullable JsonNode overlay, Set<ConfigProblem> problems) {
		JsonNode merged = (overlay != null) ? OverlayMerger.merge(base, overlay) : base;
		String file = (overlayText != null) ? baseText.file() + " + " + overlayText.file() : baseText.file();
		boolean filesValid = problems.isEmpty();
		this.schema.checkMerged(file, merged)
			.stream()
			.filter((problem) -> filesValid || isMissingKey(problem))
			.forEach(problems::add);
		if (!problems.isEmpty()) {
			return null;
		}
		OfficeConfig config = ConfigMapper.office(version, merged);
		String overlayFile = (overlayText != null) ? overlayText.file() : baseText.file();
		problems.addAll(new CrossReferenceCheck(baseText.file(), overlayFile,
				(overlay != null) ? overlay : JsonNodeFactory.instance.objectNode())
			.check(merged, config));
		return config;
	}

	// A missing name is already reported by the check of the file.
	private static boolean isMissingKey(ConfigProblem problem) {
		return problem.found().equals("nothing") && !problem.path().endsWith(".name");
	}

	private static void checkUniqueNames(String file, String path, JsonNode node, Set<ConfigProblem> problems) {
		Set<String> seen = new HashSet<>();
		int index = 0;
		for (JsonNode element : node) {
			String name = element.path("name").asText("");
			if (node.isArray() && !name.isEmpty() && !seen.add(name)) {
				problems.add(new ConfigProblem(file, path + "[" + index + "].name", "'" + name + "' again",
						"a name that no other element of the list has"));
			}
			if (node.isArray()) {
				checkUniqueNames(file, path + "[" + ((name.isEmpty()) ? index : name) + "]", element, problems);
			}
			index++;
		}
		node.properties()
			.forEach((entry) -> checkUniqueNames(file, ((path.isEmpty()) ? "" : path + ".") + entry.getKey(),
					entry.getValue(), problems));
	}

	private static Set<String> siteNames(JsonNode base, @Nullable JsonNode overlay) {
		Set<String> names = new LinkedHashSet<>();
		base.path("sites").forEach((site) -> names.add(site.path("name").asText()));
		if (overlay != null) {
			overlay.path("sites").forEach((site) -> names.add(site.path("name").asText()));
		}
		return names;
	}

}
