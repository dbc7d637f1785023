package io.verbenacleat.agent.drain;

import java.util.EnumSet;
import java.util.Set;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Whether the agent drains, and why. Written on the control thread only; may be read from
 * any thread.
 */
public final class DrainState {

	private static final Logger logger = LogManager.getLogger(DrainState.class);

	private final Set<DrainReason> reasons = EnumSet.noneOf(DrainReason.class);

	private volatile boolean draining;

	/**
	 * Sets or removes a reason.
	 * @param reason the reason
	 * @param active whether it holds
	 */
	public void set(DrainReason reason, boolean active) {
		boolean changed = (active) ? this.reasons.add(reason) : this.reasons.remove(reason);
		this.draining = !this.reasons.isEmpty();
		if (changed) {
			logger.info("Drain reason {} {}, draining: {}", reason, (active) ? "set" : "removed", this.draining);
		}
	}

	/**
	 * Returns whether the agent drains.
	 * @return {@code true} when at least one reason holds
	 */
	public boolean draining() {
		return this.draining;
	}

}
