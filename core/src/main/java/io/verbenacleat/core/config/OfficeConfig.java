package io.verbenacleat.core.config;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The checked configuration of one site: the base file with the overlay of the site
 * merged over it. Immutable.
 *
 * @param version the number of the stored version, from 1; 0 if read from files
 * @param office the name of the office
 * @param region the region of the office
 * @param models the models that callers may use
 * @param services the plain services
 * @param servers the backend servers of all sites
 * @param limits the limits
 * @param budget how budgets are held
 * @param routing how backend servers are selected
 */
public record OfficeConfig(long version, String office, String region, List<ModelConfig> models,
		List<ServiceConfig> services, List<BackendServerConfig> servers, LimitsConfig limits, BudgetConfig budget,
		RoutingConfig routing) {

	/**
	 * Creates a configuration with copies of the lists.
	 */
	public OfficeConfig {
		models = List.copyOf(models);
		services = List.copyOf(services);
		servers = List.copyOf(servers);
	}

	/**
	 * Creates a configuration with the default routing.
	 * @param version the number of the stored version, from 1; 0 if read from files
	 * @param office the name of the office
	 * @param region the region of the office
	 * @param models the models that callers may use
	 * @param services the plain services
	 * @param servers the backend servers of all sites
	 * @param limits the limits
	 * @param budget how budgets are held
	 */
	public OfficeConfig(long version, String office, String region, List<ModelConfig> models,
			List<ServiceConfig> services, List<BackendServerConfig> servers, LimitsConfig limits, BudgetConfig budget) {
		this(version, office, region, models, services, servers, limits, budget, RoutingConfig.DEFAULT);
	}

	/**
	 * Finds a model; does not search the adapters.
	 * @param name the name of the model
	 * @return the model, or empty if there is none
	 */
	public Optional<ModelConfig> model(String name) {
		return this.models.stream().filter((model) -> model.name().equals(name)).findFirst();
	}

	/**
	 * Finds what a caller may give as the model: a model, or an adapter, which has the
	 * token bounds of its model.
	 * @param name the name that the caller gives as the model
	 * @return the model with that name, or empty if there is none
	 */
	public Optional<ModelConfig> modelOrAdapter(String name) {
		return model(name).or(() -> adapters().filter((adapter) -> adapter.name().equals(name))
			.findFirst()
			.flatMap((adapter) -> model(adapter.model()))
			.map((model) -> model.withName(name)));
	}

	/**
	 * Returns the names that callers may give as the model.
	 * @return the names of the models in configured order, then those of the adapters in
	 * ascending order
	 */
	public List<String> modelAndAdapterNames() {
		return Stream
			.concat(this.models.stream().map(ModelConfig::name),
					adapters().map(AdapterConfig::name).distinct().sorted())
			.toList();
	}

	/**
	 * Finds a backend server.
	 * @param name the name of the backend server
	 * @return the backend server, or empty if there is none
	 */
	public Optional<BackendServerConfig> server(String name) {
		return this.servers.stream().filter((server) -> server.name().equals(name)).findFirst();
	}

	private Stream<AdapterConfig> adapters() {
		return this.servers.stream().flatMap((server) -> server.adapters().stream());
	}

}
