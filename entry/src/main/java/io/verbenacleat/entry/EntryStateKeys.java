package io.verbenacleat.entry;

import java.util.Map;
import java.util.Set;

import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.member.Membership;
import io.verbenacleat.proto.v1.GetStatusResponse;

/**
 * The blackboard keys of the state that the components of an entry share.
 */
public final class EntryStateKeys {

	/** The configuration in force at the site of this entry. */
	public static final Blackboard.Key<OfficeConfig> CONFIG = new Blackboard.Key<>("config");

	/** The processes of the fleet as last read. */
	public static final Blackboard.Key<Membership> MEMBERS = new Blackboard.Key<>("members");

	/** The last status of each agent that responds, by agent incarnation. */
	public static final Blackboard.Key<Map<String, GetStatusResponse>> AGENT_STATUS = new Blackboard.Key<>(
			"agent-status");

	/** The names of the backend servers that an operator drains. */
	public static final Blackboard.Key<Set<String>> DRAINED_SERVERS = new Blackboard.Key<>("drained");

	/** Whether this entry accepts new requests. */
	public static final Blackboard.Key<Boolean> ACCEPTING = new Blackboard.Key<>("accepting");

	/** When the platform last responded to a poll, in milliseconds since the epoch. */
	public static final Blackboard.Key<Long> PLATFORM_LAST_CONTACT_MS = new Blackboard.Key<>("platform-seen");

	private EntryStateKeys() {
	}

}
