package io.verbenacleat.router;

import com.google.common.base.Ticker;
import io.verbenacleat.core.control.ControlThread;

/**
 * The steady clock of a control thread as the clock of a cache, so that tests can advance
 * it. Safe for use by several threads.
 */
public final class ControlTicker extends Ticker {

	private final ControlThread control;

	/**
	 * Creates a ticker.
	 * @param control the control thread
	 */
	public ControlTicker(ControlThread control) {
		this.control = control;
	}

	@Override
	public long read() {
		return this.control.nanoTime();
	}

}
