package io.verbenacleat.standins;

import io.verbenacleat.core.daemon.UsageException;
import org.kohsuke.args4j.Option;

/**
 * The settings of the booking stand-in. Filled once at the start; not safe for use by
 * several threads before that.
 */
public final class BookingSettings extends StandinSettings {

	/** How long every answer is delayed; effects are not delayed. */
	@Option(name = "--delay-ms", metaVar = "MS", usage = "delay of every answer (default 0)")
	public long delayMs;

	@Override
	public void check() throws UsageException {
		super.check();
		requireRange("--delay-ms", this.delayMs, 600_000);
	}

}
