package io.verbenacleat.core.config;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The configuration that is in force at one site: the base with the overlay of the site
 * merged over it, checked. Immutable.
 *
 * @param version the stored version it comes from, from 1; 0 when it was read from files
 * @param office the name of the office
 * @param region the region
 * @param models the models that callers may name
 * @param services the plain services
 * @param servers the backend servers
 * @param limits the limits
 * @param budget how budgets are held
 * @param routing how backend servers are selected
 */
public record OfficeConfig(long version, String office, String region, List<ModelConfig> models,
		List<ServiceConfig> services, List<BackendServerConfig> servers, LimitsConfig limits, BudgetConfig budget,
		RoutingConfig routing) {

	/**
	 * Creates a configuration from copies of the lists.
	 */
	public OfficeConfig {
		models = List.copyOf(models);
		services = List.copyOf(services);
		servers = List.copyOf(servers);
	}

	/**
	 * Creates a configuration with the default routing.
	 * @param version the stored version, from 1; 0 when it was read from files
	 * @param office the name of the office
	 * @param region the region
	 * @param models the models that callers may name
	 * @param services the plain services
	 * @param servers the backend servers
	 * @param limits the limits
	 * @param budget how budgets are held
	 */
	public OfficeConfig(long version, String office, String region, List<ModelConfig> models,
			List<ServiceConfig> services, List<BackendServerConfig> servers, LimitsConfig limits, BudgetConfig budget) {
		this(version, office, region, models, services, servers, limits, budget, RoutingConfig.DEFAULT);
	}

	/**
	 * Finds a model.
	 * @param name the name that callers use
	 * @return the model, or empty
	 */
	public Optional<ModelConfig> model(String name) {
		return this.models.stream().filter((model) -> model.name().equals(name)).findFirst();
	}

	/**
	 * Finds what a caller may name as the model: a model, or an adapter with the bounds
	 * of its model.
	 * @param name the name that callers use
	 * @return the model under that name, or empty
	 */
	public Optional<ModelConfig> modelOrAdapter(String name) {
		return model(name).or(() -> adapters().filter((adapter) -> adapter.name().equals(name))
			.findFirst()
			.flatMap((adapter) -> model(adapter.model()))
			.map((model) -> model.withName(name)));
	}

	/**
	 * Returns the names that callers may use as the model.
	 * @return the models in their order, then the adapters in ascending order
	 */
	public List<String> modelAndAdapterNames() {
		return Stream
			.concat(this.models.stream().map(ModelConfig::name),
					adapters().map(AdapterConfig::name).distinct().sorted())
			.toList();
	}

	/**
	 * Finds a backend server.
	 * @param name its name
	 * @return the backend server, or empty
	 */
	public Optional<BackendServerConfig> server(String name) {
		return this.servers.stream().filter((server) -> server.name().equals(name)).findFirst();
	}

	private Stream<AdapterConfig> adapters() {
		return this.servers.stream().flatMap((server) -> server.adapters().stream());
	}

}
