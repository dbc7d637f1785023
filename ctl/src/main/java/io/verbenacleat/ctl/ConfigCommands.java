package io.verbenacleat.ctl;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import io.verbenacleat.core.config.ConfigException;
import io.verbenacleat.core.config.ConfigFiles;
import io.verbenacleat.core.config.ConfigLoader;
import io.verbenacleat.core.config.ConfigStore;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.config.StoredConfig;
import io.verbenacleat.core.config.VersionConflictException;
import io.verbenacleat.core.daemon.UsageException;
import io.verbenacleat.core.platform.PlatformException;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/**
 * The commands that check, compare, apply and show the configuration. Stateless.
 */
final class ConfigCommands {

	private static final long DEFAULT_HISTORY_LIMIT = 50;

	private ConfigCommands() {
	}

	static CommandGroup group() {
		return new CommandGroup("config", "configuration of the office", Map.of("check", Check::new, "diff", Diff::new,
				"apply", Apply::new, "show", Show::new, "history", History::new));
	}

	private static ConfigStore store(CommandContext context) throws UsageException {
		return new ConfigStore(context.store(), context.clock());
	}

	private static @Nullable StoredConfig findVersion(CommandContext context, @Nullable Long number)
			throws PlatformException, UsageException, CommandFailedException {
		if (number == null) {
			return store(context).current().orElse(null);
		}
		if (number < 1) {
			throw new UsageException("--number: found " + number + ", allowed is 1 or more");
		}
		return store(context).version(number)
			.orElseThrow(() -> new CommandFailedException("Version " + number + " of the configuration is unknown"));
	}

	private abstract static class ConfigFilesCommand extends Command {

		/** The path of the base file. */
		@Option(name = "--base", required = true, metaVar = "FILE", usage = "base file of the office")
		public String base = "";

		/** The overlays, each as {@code SITE=FILE}. */
		@Option(name = "--overlay", metaVar = "SITE=FILE", usage = "overlay of one site; may be repeated")
		public List<String> overlays = new ArrayList<>();

		ConfigFiles files() throws UsageException, CommandFailedException {
			return ConfigFileReader.read(this.base, this.overlays);
		}

	}

	private static final class Check extends ConfigFilesCommand {

		@Override
		void run(CommandContext context) throws ConfigException, UsageException, CommandFailedException {
			Map<String, OfficeConfig> configs = new ConfigLoader().loadAll(files());
			context.output().print(new CheckView(true, List.copyOf(configs.keySet())));
		}

	}

	private static final class Diff extends ConfigFilesCommand {

		/** The version to compare with, {@code null} for the current one. */
		@Option(name = "--number", metaVar = "N", usage = "version to compare with (default the current one)")
		public @Nullable Long number;

		@Override
		void run(CommandContext context)
				throws ConfigException, PlatformException, UsageException, CommandFailedException {
			ConfigFiles after = files();
			StoredConfig stored = findVersion(context, this.number);
			context.output().print(ConfigDiff.between((stored != null) ? stored.files() : null, after));
		}

	}

	private static final class Apply extends ConfigFilesCommand {

		/** The version that must be current, 0 for none. */
		@Option(name = "--expect-version", required = true, metaVar = "N",
				usage = "version that must be current, 0 for the first apply")
		public long expectVersion;

		@Override
		void run(CommandContext context) throws ConfigException, VersionConflictException, PlatformException,
				UsageException, CommandFailedException {
			if (this.expectVersion < 0) {
				throw new UsageException("--expect-version: found " + this.expectVersion + ", allowed is 0 or more");
			}
			ConfigFiles files = files();
			new ConfigLoader().loadAll(files);
			StoredConfig stored = store(context).apply(files, this.author, UUID.randomUUID().toString(),
					this.expectVersion);
			context.output().print(VersionView.of(stored));
		}

	}

	private static final class Show extends Command {

		/** The version to show, {@code null} for the current one. */
		@Option(name = "--number", metaVar = "N", usage = "version to show (default the current one)")
		public @Nullable Long number;

		/** The site whose merged configuration is shown, empty for all files. */
		@Option(name = "--site", metaVar = "SITE", usage = "show the merged configuration of one site")
		public String site = "";

		@Override
		void run(CommandContext context)
				throws ConfigException, PlatformException, UsageException, CommandFailedException {
			StoredConfig stored = findVersion(context, this.number);
			if (stored == null) {
				throw new CommandFailedException("No configuration was ever applied");
			}
			if (!this.site.isEmpty()) {
				context.output().print(new ConfigLoader().load(stored.number(), stored.files(), this.site));
				return;
			}
			StringBuilder text = new StringBuilder("# version " + stored.number() + ", base\n" + stored.baseText());
			stored.overlayTexts()
				.forEach((name, overlay) -> text.append("\n# overlay of ").append(name).append('\n').append(overlay));
			context.output().printText(text.toString(), stored);
		}

	}

	private static final class History extends Command {

		/** The maximum number of versions to show. */
		@Option(name = "--limit", metaVar = "N", usage = "how many versions to show, the newest ones")
		public long limit = DEFAULT_HISTORY_LIMIT;

		@Override
		void run(CommandContext context) throws PlatformException, UsageException {
			if (this.limit < 1) {
				throw new UsageException("--limit: found " + this.limit + ", allowed is 1 or more");
			}
			long current = store(context).current().map(StoredConfig::number).orElse(0L);
			long after = Math.max(0, current - this.limit);
			context.output().print(store(context).history(after).stream().map(VersionView::of).toList());
		}

	}

	/**
	 * The printed form of a successful check.
	 */
	record CheckView(boolean valid, List<String> sites) {
	}

	/**
	 * The printed form of a configuration version.
	 */
	record VersionView(long version, String author, String appliedAt, String applyId, List<String> overlays) {

		static VersionView of(StoredConfig stored) {
			return new VersionView(stored.number(), stored.author(), CommandContext.formatTime(stored.appliedAtMs()),
					stored.applyId(), List.copyOf(stored.overlayTexts().keySet()));
		}

	}

}
