package io.verbenacleat.agent;

import io.verbenacleat.core.daemon.CommonSettings;
import io.verbenacleat.core.daemon.UsageException;
import org.kohsuke.args4j.Option;

/**
 * The settings of the agent, which are set once at startup. Not safe for use by several
 * threads until then.
 */
public final class AgentSettings extends CommonSettings {

	private static final int MAX_IN_PROGRESS = 4_096;

	/** The name of the backend server. */
	@Option(name = "--server", metaVar = "NAME", usage = "backend server in the configuration that this agent serves")
	public String server = "";

	/** The base URL of the backend server, empty for the configured one. */
	@Option(name = "--backend-url", metaVar = "URL",
			usage = "base URL of the backend server (default: the one in the configuration)")
	public String backendUrl = "";

	/** The maximum number of orders that run at a time. */
	@Option(name = "--max-in-progress", metaVar = "COUNT", usage = "most orders that run at a time (default 256)")
	public int maxInProgress = 256;

	@Override
	public void check() throws UsageException {
		super.check();
		require("--server", this.server);
		if (!this.backendUrl.isEmpty() && !this.backendUrl.matches("https?://[^/ ]+(/[^ ]*)?")) {
			throw new UsageException(
					"--backend-url: found '" + this.backendUrl + "', allowed is http(s)://host:port and a path");
		}
		if (this.maxInProgress < 1 || this.maxInProgress > MAX_IN_PROGRESS) {
			throw new UsageException(
					"--max-in-progress: found " + this.maxInProgress + ", allowed is 1 to " + MAX_IN_PROGRESS);
		}
	}

}
