package io.verbenacleat.standins;

import java.util.Arrays;
import java.util.List;

import io.verbenacleat.core.daemon.UsageException;
import org.kohsuke.args4j.Option;

/**
 * Settings of the engine stand-in. The command line parser fills them in before the
 * stand-in starts; not safe for use by several threads until then.
 */
public final class EngineSettings extends StandinSettings {

	private static final long MAX_DELAY_MS = 600_000;

	/** Names of the models that are loaded at the start, separated by commas. */
	@Option(name = "--models", metaVar = "NAMES",
			usage = "models that the engine serves, separated by commas (default model-a)")
	public String models = "model-a";

	/** Length of an answer when the message has no {@code answer=<n>}. */
	@Option(name = "--answer-tokens", metaVar = "N", usage = "tokens of an answer without answer=N (default 16)")
	public int answerTokens = 16;

	/** Time to the first token in milliseconds. */
	@Option(name = "--first-token-ms", metaVar = "MS", usage = "time to the first token (default 0)")
	public long firstTokenMs;

	/** Time between two tokens in milliseconds. */
	@Option(name = "--token-interval-ms", metaVar = "MS", usage = "time between tokens (default 0)")
	public long tokenIntervalMs;

	/** Whether answers continue past the token limit of the request. */
	@Option(name = "--ignore-max-tokens", usage = "do not stop at max_tokens")
	public boolean ignoreMaxTokens;

	/** Whether requests with an outdated fencing token are refused. */
	@Option(name = "--check-fencing", usage = "refuse a Fencing-Token lower than the highest seen")
	public boolean checkFencing;

	/** Role of the engine at the start. */
	@Option(name = "--role", metaVar = "ROLE", usage = "role of the engine at its start (default combined)")
	public String role = "combined";

	/** Time that the load of a model or adapter takes, in milliseconds. */
	@Option(name = "--load-ms", metaVar = "MS", usage = "time that a load of a model or adapter takes (default 0)")
	public long loadMs;

	@Override
	public void check() throws UsageException {
		super.check();
		requireRange("--first-token-ms", this.firstTokenMs, MAX_DELAY_MS);
		requireRange("--token-interval-ms", this.tokenIntervalMs, MAX_DELAY_MS);
		requireRange("--load-ms", this.loadMs, MAX_DELAY_MS);
		requireRange("--answer-tokens", this.answerTokens, 1_000_000);
		if (modelNames().isEmpty()) {
			throw new UsageException("--models: found '" + this.models + "', allowed is at least one name");
		}
	}

	/**
	 * Returns the names of the models that are loaded at the start.
	 * @return the names without white space, in the order of the setting
	 */
	List<String> modelNames() {
		return Arrays.stream(this.models.split(",")).map(String::strip).filter((name) -> !name.isEmpty()).toList();
	}

}
