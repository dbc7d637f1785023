package io.verbenacleat.standins;

import io.verbenacleat.core.daemon.UsageException;
import org.kohsuke.args4j.Option;

/**
 * The settings of the platform stand-in. Filled once at the start; not safe for use by
 * several threads before that.
 */
public final class PlatformSettings extends StandinSettings {

	/** The bearer token that requests must carry. */
	@Option(name = "--platform-token", metaVar = "TOKEN",
			usage = "bearer token that requests must carry (default none, every request is taken)")
	public String platformToken = "";

	/** How long a change of the host list stays hidden. */
	@Option(name = "--host-list-lag-ms", metaVar = "MS",
			usage = "how long a change of the host list stays hidden (default 0)")
	public long hostListLagMs;

	/** How many fetches from the weight store are allowed per minute. */
	@Option(name = "--weights-per-minute", metaVar = "N",
			usage = "fetches from the weight store per minute " + "(default 60)")
	public int weightsPerMinute = 60;

	@Override
	public void check() throws UsageException {
		super.check();
		requireRange("--host-list-lag-ms", this.hostListLagMs, 3_600_000);
		requireRange("--weights-per-minute", this.weightsPerMinute, 1_000_000);
	}

}
