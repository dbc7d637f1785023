package io.verbenacleat.standins;

import io.verbenacleat.core.daemon.UsageException;
import org.kohsuke.args4j.Option;

/**
 * Settings of the platform stand-in. The command line parser fills them in before the
 * stand-in starts; not safe for use by several threads until then.
 */
public final class PlatformSettings extends StandinSettings {

	/** Bearer token that requests must carry, empty to admit every request. */
	@Option(name = "--platform-token", metaVar = "TOKEN",
			usage = "bearer token that requests must carry (default none, every request is taken)")
	public String platformToken = "";

	/** Time until a change of the host list becomes visible, in milliseconds. */
	@Option(name = "--host-list-lag-ms", metaVar = "MS",
			usage = "how long a change of the host list stays hidden (default 0)")
	public long hostListLagMs;

	/** Rate limit of the weight store, in fetches per minute. */
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
