package io.verbenacleat.entry;

import io.verbenacleat.core.daemon.CommonSettings;
import io.verbenacleat.core.daemon.UsageException;
import org.kohsuke.args4j.Option;

/**
 * The settings of the entry daemon, set once from the command line at startup. Not safe
 * for use by several threads until then.
 */
public final class EntrySettings extends CommonSettings {

	/** The port for callers. */
	@Option(name = "--http-port", metaVar = "PORT", usage = "port for callers (default 8080)")
	public int httpPort = 8080;

	/** The IP number to bind for callers; empty for the value of {@code --host}. */
	@Option(name = "--http-host", metaVar = "IP", usage = "IP number to bind for callers (default: --host)")
	public String httpHost = "";

	/**
	 * How long a caller may send no more of its body, or receive no more of its response,
	 * in milliseconds; 1 or more.
	 */
	@Option(name = "--caller-idle-timeout-ms", metaVar = "MS",
			usage = "ends a caller that sends no more of its body, or takes none of its answer, for this time (default 30000)")
	public int callerIdleTimeoutMs = 30_000;

	@Override
	public void check() throws UsageException {
		super.check();
		requirePort("--http-port", this.httpPort);
		if (this.callerIdleTimeoutMs < 1) {
			throw new UsageException(
					"--caller-idle-timeout-ms: found " + this.callerIdleTimeoutMs + ", allowed is 1 or more");
		}
		if (this.rpcPort == 0) {
			throw new UsageException("--rpc-port is missing; other processes connect to the entry at this port");
		}
		if (this.httpHost.isEmpty()) {
			this.httpHost = this.host;
		}
	}

}
