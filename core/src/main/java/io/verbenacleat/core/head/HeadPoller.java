package io.verbenacleat.core.head;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import org.jspecify.annotations.Nullable;

/**
 * Polls the row {@code head} and reads each topic whose version has increased. A version
 * lower than one seen before is ignored, so a reader never returns to older rows.
 * Confined to the control thread: all methods are called on it, and so are the readers
 * and the listener.
 *
 * <pre>{@code
 * poller.onTopic(Head.CONFIG, (topic) -> readConfiguration());
 * poller.start();
 * }</pre>
 */
public final class HeadPoller implements AutoCloseable {

	/**
	 * With reads of the head and the topic that take one second each, a change takes
	 * effect at an entry within 3 s.
	 */
	public static final Duration ENTRY_INTERVAL = Duration.ofSeconds(1);

	/**
	 * Twice the interval of entries, since there are more agents. With reads of the head
	 * and the topic that take half a second each, a change takes effect at an agent
	 * within 3 s.
	 */
	public static final Duration AGENT_INTERVAL = Duration.ofSeconds(2);

	private final TableStore store;

	private final ControlThread control;

	private final Duration interval;

	private final Map<String, TopicReader> readersByPrefix = new LinkedHashMap<>();

	private final Map<String, Long> seenVersions = new HashMap<>();

	private final Map<String, Long> readingVersions = new HashMap<>();

	private Runnable contactListener = () -> {
	};

	private boolean polling;

	private @Nullable Cancellable timer;

	/**
	 * Creates a poller; polling begins with {@link #start}.
	 * @param store the table store
	 * @param control the control thread
	 * @param interval the delay between two polls
	 */
	public HeadPoller(TableStore store, ControlThread control, Duration interval) {
		this.store = store;
		this.control = control;
		this.interval = interval;
	}

	/**
	 * Sets the reader of all topics that start with a prefix. If several prefixes match a
	 * topic, the one that was set first is used.
	 * @param prefix the whole name of a topic or its start
	 * @param reader the reader
	 */
	public void onTopic(String prefix, TopicReader reader) {
		this.readersByPrefix.put(prefix, reader);
	}

	/**
	 * Sets the listener that is called after each poll that the table store answered.
	 * @param listener the listener
	 */
	public void onContact(Runnable listener) {
		this.contactListener = listener;
	}

	/**
	 * Polls at once and from then on at each interval.
	 */
	public void start() {
		this.timer = this.control.scheduleWithFixedDelay(this.interval, this::poll);
		poll();
	}

	/**
	 * Polls once, unless a poll is in progress.
	 */
	public void poll() {
		if (this.polling) {
			return;
		}
		this.polling = true;
		this.store.read(Head.KEY).whenCompleteAsync((row, failure) -> {
			this.polling = false;
			if (row != null) {
				this.contactListener.run();
				readChangedTopics(row);
			}
		}, this.control);
	}

	@Override
	public void close() {
		if (this.timer != null) {
			this.timer.cancel();
		}
	}

	private void readChangedTopics(Row row) {
		if (!row.exists()) {
			return;
		}
		try {
			Json.read(row.json(), Head.class).topics().forEach(this::readIfNewer);
		}
		catch (JsonFormatException ex) {
			throw new IllegalStateException("The row " + Head.KEY + " is malformed", ex);
		}
	}

	private void readIfNewer(String topic, long version) {
		long newest = Math.max(this.seenVersions.getOrDefault(topic, 0L), this.readingVersions.getOrDefault(topic, 0L));
		TopicReader reader = findReader(topic);
		if (version <= newest || reader == null) {
			return;
		}
		this.readingVersions.put(topic, version);
		reader.read(topic).whenCompleteAsync((result, failure) -> {
			this.readingVersions.remove(topic, version);
			if (failure == null) {
				this.seenVersions.merge(topic, version, Math::max);
			}
		}, this.control);
	}

	private @Nullable TopicReader findReader(String topic) {
		for (Map.Entry<String, TopicReader> entry : this.readersByPrefix.entrySet()) {
			if (topic.startsWith(entry.getKey())) {
				return entry.getValue();
			}
		}
		return null;
	}

}
