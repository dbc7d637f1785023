package io.verbenacleat.core.head;

import java.util.concurrent.CompletableFuture;

/**
 * Reads the rows of a topic after its version has increased.
 */
@FunctionalInterface
public interface TopicReader {

	/**
	 * Starts to read the rows; called on the control thread.
	 * @param topic the topic
	 * @return a future that completes when the rows have been read and published; if it
	 * fails, the topic is read again at the next poll
	 */
	CompletableFuture<?> read(String topic);

}
