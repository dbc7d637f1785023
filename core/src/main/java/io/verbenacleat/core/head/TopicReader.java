package io.verbenacleat.core.head;

import java.util.concurrent.CompletableFuture;

/**
 * Reads the rows of a topic after its version rose.
 */
@FunctionalInterface
public interface TopicReader {

	/**
	 * Starts to read; called on the control thread.
	 * @param topic the topic
	 * @return completes when the rows were read and published; when it fails, the topic
	 * is read again at the next poll
	 */
	CompletableFuture<?> read(String topic);

}
