package io.verbenacleat.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Checks what the schema cannot express: references and other relations between parts of
 * the merged configuration. An instance checks one merged tree, once. Not safe for use by
 * several threads.
 */
final class CrossReferenceCheck {

	private final String baseFile;

	private final String overlayFile;

	private final JsonNode overlay;

	private final List<ConfigProblem> problems = new ArrayList<>();

	private final Map<String, String> modelsByAdapter = new HashMap<>();

	CrossReferenceCheck(String baseFile, String overlayFile, JsonNode overlay) {
		this.baseFile = baseFile;
		this.overlayFile = overlayFile;
		this.overlay = overlay;
	}

	List<ConfigProblem> check(JsonNode merged, OfficeConfig config) {
		Set<String> sites = new TreeSet<>();
		merged.path("sites").forEach((site) -> sites.add(site.path("name").asText()));
		Set<String> models = config.models()
			.stream()
			.map(ModelConfig::name)
			.collect(Collectors.toCollection(TreeSet::new));
		Set<String> services = config.services()
			.stream()
			.map(ServiceConfig::name)
			.collect(Collectors.toCollection(TreeSet::new));
		config.models().forEach(this::checkModel);
		config.services().forEach((service) -> checkService(service, config.services()));
		config.servers().forEach((server) -> checkServer(server, sites, models, services));
		config.servers().forEach((server) -> checkAdapters(server, models));
		return this.problems;
	}

	private void checkModel(ModelConfig model) {
		if (model.defaultMaxAnswerTokens() > model.maxAnswerTokens()) {
			addProblem("models", model.name(), "defaultMaxAnswerTokens",
					"number '" + model.defaultMaxAnswerTokens() + "'",
					"at most maxAnswerTokens, " + model.maxAnswerTokens());
		}
	}

	private void checkService(ServiceConfig service, List<ServiceConfig> services) {
		String prefix = service.pathPrefix() + "/";
		if (prefix.startsWith("/v1/")) {
			addProblem("services", service.name(), "pathPrefix", "'" + service.pathPrefix() + "'",
					"a path outside /v1, which is the chat interface");
		}
		for (ServiceConfig other : services) {
			if (!other.name().equals(service.name()) && prefix.startsWith(other.pathPrefix() + "/")) {
				addProblem("services", service.name(), "pathPrefix", "'" + service.pathPrefix() + "'",
						"a path outside the prefix " + other.pathPrefix() + " of service " + other.name());
			}
		}
		for (ServiceConfig.RouteConfig route : service.routes()) {
			if (!(route.path() + "/").startsWith(prefix)) {
				addProblem("services", service.name(), "routes[" + route.name() + "].path", "'" + route.path() + "'",
						"a path under the prefix " + service.pathPrefix());
			}
			if (!route.path().matches("(/(\\*|[^/*]+))*(/\\*\\*)?")) {
				addProblem("services", service.name(), "routes[" + route.name() + "].path", "'" + route.path() + "'",
						"* as a whole segment, or a final **");
			}
		}
	}

	private void checkServer(BackendServerConfig server, Set<String> sites, Set<String> models, Set<String> services) {
		String name = server.name();
		checkReference(name, "site", server.site(), sites);
		server.models().forEach((model) -> checkReference(name, "models", model, models));
		String service = server.service();
		if (server.kind() == BackendServerConfig.Kind.SERVICE) {
			checkReference(name, "service", (service != null) ? service : "", services);
			if (!server.models().isEmpty()) {
				addProblem("servers", name, "models", "a list of " + server.models().size(),
						"nothing for a server of kind service");
			}
			String role = server.role();
			if (role != null) {
				addProblem("servers", name, "role", "'" + role + "'", "nothing for a server of kind service");
			}
			return;
		}
		if (server.models().isEmpty()) {
			addProblem("servers", name, "models", "nothing", "one or more models for a server of kind model-engine");
		}
		if (service != null) {
			addProblem("servers", name, "service", "'" + service + "'", "nothing for a server of kind model-engine");
		}
	}

	private void checkAdapters(BackendServerConfig server, Set<String> models) {
		for (AdapterConfig adapter : server.adapters()) {
			String path = "adapters[" + adapter.name() + "]";
			checkReference(server.name(), path + ".model", adapter.model(), new TreeSet<>(server.models()));
			if (models.contains(adapter.name())) {
				addProblem("servers", server.name(), path + ".name", "'" + adapter.name() + "'",
						"a name that is not the name of a model");
			}
			// A request for the adapter has the token bounds of the model, which
			// therefore
			// must be the same at all servers.
			String model = this.modelsByAdapter.putIfAbsent(adapter.name(), adapter.model());
			if (model != null && !model.equals(adapter.model())) {
				addProblem("servers", server.name(), path + ".model", "'" + adapter.model() + "'",
						model + ", as for this adapter at another server");
			}
		}
	}

	private void checkReference(String server, String key, String value, Set<String> allowedValues) {
		if (!allowedValues.contains(value)) {
			addProblem("servers", server, key, (value.isEmpty()) ? "nothing" : "'" + value + "'",
					(allowedValues.isEmpty()) ? "nothing, none is configured"
							: "one of " + String.join(", ", allowedValues));
		}
	}

	private void addProblem(String list, String name, String key, String found, String allowed) {
		boolean inOverlay = false;
		for (JsonNode element : this.overlay.path(list)) {
			String topLevelKey = key.replaceAll("\\[.*", "");
			inOverlay |= name.equals(element.path("name").asText()) && element.has(topLevelKey);
		}
		this.problems.add(new ConfigProblem((inOverlay) ? this.overlayFile : this.baseFile,
				list + "[" + name + "]." + key, found, allowed));
	}

}
