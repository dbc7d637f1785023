package io.verbenacleat.core.head;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * The row {@code head}: a version for each topic, raised in the transaction that changes
 * the topic. Readers poll this one small row. Immutable.
 *
 * @param topics the versions by topic
 */
public record Head(Map<String, Long> topics) {

	/** The table key of the row. */
	public static final String KEY = "head";

	/** The topic of the configuration. */
	public static final String CONFIG = "config";

	/** The topic of the callers. */
	public static final String CALLERS = "callers";

	/** The topic of drained backend servers. */
	public static final String DRAIN = "drain";

	/**
	 * Creates a row from a copy of the map.
	 */
	public Head {
		topics = (topics != null) ? Collections.unmodifiableMap(new TreeMap<>(topics)) : Map.of();
	}

	/**
	 * Returns the version of a topic.
	 * @param topic the topic
	 * @return the version, 0 when the topic never changed
	 */
	public long version(String topic) {
		return this.topics.getOrDefault(topic, 0L);
	}

	/**
	 * Returns this row with the version of a topic raised by one.
	 * @param topic the topic
	 * @return the changed copy
	 */
	public Head withNextVersion(String topic) {
		Map<String, Long> changed = new TreeMap<>(this.topics);
		changed.merge(topic, 1L, Long::sum);
		return new Head(changed);
	}

}
