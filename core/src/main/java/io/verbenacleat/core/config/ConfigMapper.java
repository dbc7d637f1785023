package io.verbenacleat.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Maps a tree that passed the schema check to configuration records, with defaults for
 * absent keys. Stateless.
 */
final class ConfigMapper {

	private static final int DEFAULT_IMAGE_TOKENS = 2048;

	private static final int DEFAULT_OVERRUN_TOKENS = 32;

	private ConfigMapper() {
	}

	static OfficeConfig office(long version, JsonNode tree) {
		return new OfficeConfig(version, tree.path("office").asText(), tree.path("region").asText(),
				list(tree.path("models"), ConfigMapper::model), list(tree.path("services"), ConfigMapper::service),
				list(tree.path("servers"), ConfigMapper::server), limits(tree.path("limits")),
				budget(tree.path("budget")), routing(tree.path("routing")));
	}

	private static ModelConfig model(JsonNode node) {
		int maxAnswerTokens = node.path("maxAnswerTokens").asInt();
		return new ModelConfig(node.path("name").asText(), maxAnswerTokens,
				node.path("defaultMaxAnswerTokens").asInt(maxAnswerTokens),
				node.path("imageTokens").asInt(DEFAULT_IMAGE_TOKENS),
				node.path("overrunTokens").asInt(DEFAULT_OVERRUN_TOKENS));
	}

	private static ServiceConfig service(JsonNode node) {
		return new ServiceConfig(node.path("name").asText(), node.path("pathPrefix").asText(),
				list(node.path("routes"), ConfigMapper::route));
	}

	private static ServiceConfig.RouteConfig route(JsonNode node) {
		return new ServiceConfig.RouteConfig(node.path("name").asText(), node.path("method").asText(),
				node.path("path").asText(), node.path("repeatable").asBoolean(), node.path("priceTokens").asLong(0));
	}

	private static BackendServerConfig server(JsonNode node) {
		BackendServerConfig.Kind kind = ("service".equals(node.path("kind").asText()))
				? BackendServerConfig.Kind.SERVICE : BackendServerConfig.Kind.MODEL_ENGINE;
		return new BackendServerConfig(node.path("name").asText(), kind, node.path("url").asText(),
				node.path("site").asText(), list(node.path("models"), JsonNode::asText),
				(node.has("service")) ? node.path("service").asText() : null,
				node.path("checksFencing").asBoolean(false), list(node.path("adapters"), ConfigMapper::adapter),
				(node.has("role")) ? node.path("role").asText() : null,
				node.path("maxRunning").asInt(BackendServerConfig.DEFAULT_MAX_RUNNING));
	}

	private static AdapterConfig adapter(JsonNode node) {
		return new AdapterConfig(node.path("name").asText(), node.path("model").asText(),
				node.path("version").asText());
	}

	private static LimitsConfig limits(JsonNode node) {
		LimitsConfig defaults = LimitsConfig.DEFAULT;
		return new LimitsConfig(node.path("maxBodyBytes").asInt(defaults.maxBodyBytes()),
				node.path("requestTimeoutMs").asLong(defaults.requestTimeoutMs()),
				node.path("maxInProgress").asInt(defaults.maxInProgress()),
				node.path("retryAfterMs").asLong(defaults.retryAfterMs()),
				node.path("maxConfigAgeMs").asLong(defaults.maxConfigAgeMs()),
				node.path("maxQueueWaitMs").asLong(defaults.maxQueueWaitMs()),
				node.path("maxInProgressPerAccount").asInt(defaults.maxInProgressPerAccount()),
				list(node.path("workspaceWeights"), (entry) -> new WorkspaceWeight(entry.path("name").asText(),
						entry.path("weight").asInt(WorkspaceWeight.DEFAULT))));
	}

	private static BudgetConfig budget(JsonNode node) {
		BudgetConfig.Preset preset = switch (node.path("preset").asText()) {
			case "guild" -> BudgetConfig.Preset.GUILD;
			case "cooperative" -> BudgetConfig.Preset.COOPERATIVE;
			default -> BudgetConfig.DEFAULT.preset();
		};
		return new BudgetConfig(preset, list(node.path("hotAccounts"),
				(hot) -> new BudgetConfig.HotAccount(hot.path("name").asText(), hot.path("holdersPerSite").asInt())));
	}

	private static RoutingConfig routing(JsonNode node) {
		RoutingConfig defaults = RoutingConfig.DEFAULT;
		RoutingConfig.Policy policy = switch (node.path("policy").asText()) {
			case "least-loaded" -> RoutingConfig.Policy.LEAST_LOADED;
			case "prefix-affinity" -> RoutingConfig.Policy.PREFIX_AFFINITY;
			default -> defaults.policy();
		};
		return new RoutingConfig(policy, node.path("prefixBlocks").asInt(defaults.prefixBlocks()),
				node.path("loadFactor").asDouble(defaults.loadFactor()));
	}

	private static <T> List<T> list(JsonNode node, Function<JsonNode, T> mapping) {
		List<T> values = new ArrayList<>();
		node.forEach((element) -> values.add(mapping.apply(element)));
		return values;
	}

}
