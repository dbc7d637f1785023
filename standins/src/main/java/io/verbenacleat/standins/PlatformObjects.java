package io.verbenacleat.standins;

import java.util.List;
import java.util.concurrent.ConcurrentSkipListMap;

import org.jspecify.annotations.Nullable;

/**
 * The object store of the platform stand-in. Safe for use by several threads.
 */
final class PlatformObjects {

	private final ConcurrentSkipListMap<String, byte[]> objects = new ConcurrentSkipListMap<>();

	/**
	 * Writes an object.
	 * @param key the key
	 * @param bytes the content, not changed afterwards
	 */
	void put(String key, byte[] bytes) {
		this.objects.put(key, bytes);
	}

	/**
	 * Reads an object.
	 * @param key the key
	 * @return the content, {@code null} when there is none
	 */
	byte @Nullable [] get(String key) {
		return this.objects.get(key);
	}

	/**
	 * Lists keys.
	 * @param prefix the prefix
	 * @param after the key after which to start
	 * @param limit the most keys
	 * @return the keys
	 */
	KeysAnswer list(String prefix, String after, int limit) {
		return new KeysAnswer(this.objects.keySet()
			.stream()
			.filter((key) -> key.startsWith(prefix) && key.compareTo(after) > 0)
			.limit(limit)
			.toList());
	}

	/**
	 * The answer to a list call.
	 *
	 * @param keys the keys
	 */
	record KeysAnswer(List<String> keys) {
	}

}
