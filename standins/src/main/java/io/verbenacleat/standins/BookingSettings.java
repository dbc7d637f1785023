package io.verbenacleat.standins;

import io.verbenacleat.core.daemon.UsageException;
import org.kohsuke.args4j.Option;

/**
 * Settings of the booking stand-in. The command line parser fills them in before the
 * stand-in starts; not safe for use by several threads until then.
 */
public final class BookingSettings extends StandinSettings {

	/**
	 * Delay of every answer in milliseconds, from 0 to 600,000. Calls are executed
	 * without this delay.
	 */
	@Option(name = "--delay-ms", metaVar = "MS", usage = "delay of every answer (default 0)")
	public long delayMs;

	@Override
	public void check() throws UsageException {
		super.check();
		requireRange("--delay-ms", this.delayMs, 600_000);
	}

}
