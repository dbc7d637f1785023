package io.verbenacleat.core.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The object store of the platform. A key has the form of a relative path of letters,
 * digits, {@code .}, {@code _} and {@code -}. Implementations are safe for use by several
 * threads. Futures fail with a {@link PlatformException}; a failed put may have taken
 * effect.
 */
public interface ObjectStore {

	/**
	 * Writes an object, over an older one if there is one.
	 * @param key the key
	 * @param bytes the content, not changed afterwards
	 * @return completes when the object is stored
	 */
	CompletableFuture<Void> put(String key, byte[] bytes);

	/**
	 * Reads an object.
	 * @param key the key
	 * @return the content, or empty when there is no such object
	 */
	CompletableFuture<Optional<byte[]>> get(String key);

	/**
	 * Lists keys by their prefix, in ascending order.
	 * @param prefix the prefix, empty for all
	 * @param after the key after which to start, empty to start at the first
	 * @param limit the most keys to return, 1 to 1,000
	 * @return the keys
	 */
	CompletableFuture<List<String>> list(String prefix, String after, int limit);

}
