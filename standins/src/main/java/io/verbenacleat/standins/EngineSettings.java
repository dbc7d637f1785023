package io.verbenacleat.standins;

import java.util.Arrays;
import java.util.List;

import io.verbenacleat.core.daemon.UsageException;
import org.kohsuke.args4j.Option;

/**
 * The settings of the engine stand-in. Filled once at the start; not safe for use by
 * several threads before that.
 */
public final class EngineSettings extends StandinSettings {

	private static final long MAX_DELAY_MS = 600_000;

	/** The models that the engine serves at its start. */
	@Option(name = "--models", metaVar = "NAMES",
			usage = "models that the engine serves, separated by commas (default model-a)")
	public String models = "model-a";

	/** The tokens of an answer when the message does not say. */
	@Option(name = "--answer-tokens", metaVar = "N", usage = "tokens of an answer without answer=N (default 16)")
	public int answerTokens = 16;

	/** The time to the first token. */
	@Option(name = "--first-token-ms", metaVar = "MS", usage = "time to the first token (default 0)")
	public long firstTokenMs;

	/** The time between tokens. */
	@Option(name = "--token-interval-ms", metaVar = "MS", usage = "time between tokens (default 0)")
	public long tokenIntervalMs;

	/** Whether the answer bound of a request has no effect. */
	@Option(name = "--ignore-max-tokens", usage = "do not stop at max_tokens")
	public boolean ignoreMaxTokens;

	/** Whether old fencing numbers are refused. */
	@Option(name = "--check-fencing", usage = "refuse a Fencing-Token lower than the highest seen")
	public boolean checkFencing;

	/** The role of the engine at its start. */
	@Option(name = "--role", metaVar = "ROLE", usage = "role of the engine at its start (default combined)")
	public String role = "combined";

	/** The time that a load takes. */
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
	 * Returns the models.
	 * @return the names
	 */
	List<String> modelNames() {
		return Arrays.stream(this.models.split(",")).map(String::strip).filter((name) -> !name.isEmpty()).toList();
	}

}
