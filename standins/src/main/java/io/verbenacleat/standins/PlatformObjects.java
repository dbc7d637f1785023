package io.verbenacleat.standins;

import java.util.List;
import java.util.concurrent.ConcurrentSkipListMap;

import org.jspecify.annotations.Nullable;

/**
 * In-memory object store of the platform stand-in. Safe for use by several threads.
 */
final class PlatformObjects {

	private final ConcurrentSkipListMap<String, byte[]> objects = new ConcurrentSkipListMap<>();

	/**
	 * Writes an object, replacing any object with the same key.
	 * @param key the key
	 * @param bytes the content, not changed afterwards
	 */
	void put(String key, byte[] bytes) {
		this.objects.put(key, bytes);
	}

	/**
	 * Reads an object.
	 * @param key the key
	 * @return the content, or {@code null} when there is no such object; not to be
	 * changed
	 */
	byte @Nullable [] get(String key) {
		return this.objects.get(key);
	}

	/**
	 * Lists keys by prefix.
	 * @param prefix the prefix, empty for all keys
	 * @param after the key after which to start, exclusive; empty for the first key
	 * @param limit the largest number of keys, zero or more
	 * @return the keys in ascending order
	 */
	KeysAnswer list(String prefix, String after, int limit) {
		return new KeysAnswer(this.objects.keySet()
			.stream()
			.filter((key) -> key.startsWith(prefix) && key.compareTo(after) > 0)
			.limit(limit)
			.toList());
	}

	/**
	 * Answer of {@code GET /v1/objects}.
	 *
	 * @param keys the keys in ascending order
	 */
	record KeysAnswer(List<String> keys) {
	}

}
