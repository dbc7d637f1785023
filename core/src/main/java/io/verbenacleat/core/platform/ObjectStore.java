package io.verbenacleat.core.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The object store of the platform. A key is a relative path whose segments consist of
 * letters, digits, {@code .}, {@code _} and {@code -}, and are neither {@code .} nor
 * {@code ..}. Implementations are safe for use by several threads. Futures fail with a
 * {@link PlatformException}; a failed put may have taken effect.
 */
public interface ObjectStore {

	/**
	 * Writes an object and replaces an older one with the same key.
	 * @param key the key
	 * @param bytes the content, must not be changed afterwards
	 * @return a future that completes when the object is stored
	 * @throws IllegalArgumentException if the key is not valid
	 */
	CompletableFuture<Void> put(String key, byte[] bytes);

	/**
	 * Reads an object.
	 * @param key the key
	 * @return a future of the content, empty if there is no such object
	 * @throws IllegalArgumentException if the key is not valid
	 */
	CompletableFuture<Optional<byte[]>> get(String key);

	/**
	 * Lists the keys with a prefix, in ascending order.
	 * @param prefix the prefix, empty for all
	 * @param after the exclusive start key, empty to start at the first key
	 * @param limit the maximum number of keys, 1 to 1,000
	 * @return a future of the keys
	 */
	CompletableFuture<List<String>> list(String prefix, String after, int limit);

}
