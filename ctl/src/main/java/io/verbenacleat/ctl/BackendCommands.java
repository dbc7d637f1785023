package io.verbenacleat.ctl;

import java.util.ArrayList;
import java.util.Map;
import java.util.TreeMap;

import io.verbenacleat.core.config.BackendServerConfig;
import io.verbenacleat.core.config.ConfigException;
import io.verbenacleat.core.config.ConfigLoader;
import io.verbenacleat.core.config.ConfigStore;
import io.verbenacleat.core.config.StoredConfig;
import io.verbenacleat.core.daemon.UsageException;
import io.verbenacleat.core.member.DrainAdmin;
import io.verbenacleat.core.member.DrainRow;
import io.verbenacleat.core.platform.PlatformException;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;

/**
 * The commands that list and drain backend servers. Stateless.
 */
final class BackendCommands {

	private BackendCommands() {
	}

	static CommandGroup group() {
		return new CommandGroup("backend", "backend servers",
				Map.of("list", List::new, "drain", Drain::new, "undrain", Undrain::new));
	}

	// Includes backend servers that only an overlay lists.
	private static Map<String, BackendServerConfig> configuredServers(CommandContext context)
			throws PlatformException, ConfigException, UsageException, CommandFailedException {
		StoredConfig stored = new ConfigStore(context.store(), context.clock()).current()
			.orElseThrow(() -> new CommandFailedException("No configuration was ever applied"));
		Map<String, BackendServerConfig> servers = new TreeMap<>();
		new ConfigLoader().loadAll(stored.files())
			.values()
			.forEach((config) -> config.servers().forEach((server) -> servers.putIfAbsent(server.name(), server)));
		return servers;
	}

	private static final class List extends Command {

		@Override
		void run(CommandContext context)
				throws PlatformException, ConfigException, UsageException, CommandFailedException {
			java.util.List<BackendView> views = new ArrayList<>();
			Map<String, DrainRow> drains = new DrainAdmin(context.store(), context.clock()).list();
			for (BackendServerConfig server : configuredServers(context).values()) {
				views.add(BackendView.of(server, drains.get(server.name())));
			}
			context.output().print(views);
		}

	}

	private abstract static class DrainChange extends Command {

		private final boolean draining;

		/** The name of the backend server. */
		@Argument(index = 0, required = true, metaVar = "SERVER", usage = "name of the backend server")
		public String server = "";

		DrainChange(boolean draining) {
			this.draining = draining;
		}

		@Override
		void run(CommandContext context)
				throws PlatformException, ConfigException, UsageException, CommandFailedException {
			BackendServerConfig configured = configuredServers(context).get(this.server);
			if (configured == null) {
				throw new CommandFailedException("Backend server '" + this.server
						+ "' is unknown; 'verbenactl backend list' shows the known ones");
			}
			DrainRow row = new DrainAdmin(context.store(), context.clock()).setDraining(this.server, this.draining,
					this.author);
			context.output().print(BackendView.of(configured, row));
		}

	}

	private static final class Drain extends DrainChange {

		Drain() {
			super(true);
		}

	}

	private static final class Undrain extends DrainChange {

		Undrain() {
			super(false);
		}

	}

	/**
	 * The printed form of a backend server.
	 */
	record BackendView(String server, String kind, String url, String site, boolean draining, @Nullable String by,
			@Nullable String since) {

		static BackendView of(BackendServerConfig server, @Nullable DrainRow row) {
			String kind = (server.kind() == BackendServerConfig.Kind.SERVICE) ? "service" : "model-engine";
			boolean changed = row != null && row.atMs() > 0;
			return new BackendView(server.name(), kind, server.url(), server.site(), row != null && row.draining(),
					(row != null && changed) ? row.by() : null,
					(row != null && changed) ? CommandContext.formatTime(row.atMs()) : null);
		}

	}

}
