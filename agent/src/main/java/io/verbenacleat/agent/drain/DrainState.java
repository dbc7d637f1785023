package io.verbenacleat.agent.drain;

import java.util.EnumSet;
import java.util.Set;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The reasons for which an agent drains. Changed on the control thread only;
 * {@link #draining} may be called from any thread.
 */
public final class DrainState {

	private static final Logger logger = LogManager.getLogger(DrainState.class);

	private final Set<DrainReason> reasons = EnumSet.noneOf(DrainReason.class);

	private volatile boolean draining;

	/**
	 * Adds or removes a reason.
	 * @param reason the reason
	 * @param active whether the reason applies
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
	 * @return {@code true} when at least one reason applies
	 */
	public boolean draining() {
		return this.draining;
	}

}
