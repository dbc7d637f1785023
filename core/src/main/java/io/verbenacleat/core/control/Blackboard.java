package io.verbenacleat.core.control;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

/**
 * A typed map of immutable values through which the controllers of a daemon share state
 * with each other and with the threads that serve requests. Values must be written on the
 * control thread and may be read on any thread.
 *
 * <pre>{@code
 * static final Key<ZoneMembers> MEMBERS = new Key<>("members");
 * blackboard.write(MEMBERS, members);
 * ZoneMembers seen = blackboard.read(MEMBERS);
 * }</pre>
 */
public final class Blackboard {

	private final Map<Key<?>, Object> values = new ConcurrentHashMap<>();

	private final Map<Key<?>, List<Consumer<Object>>> listeners = new ConcurrentHashMap<>();

	/**
	 * Reads a value.
	 * @param <T> the type of the value
	 * @param key the key
	 * @return the value, or {@code null} if none was written yet
	 */
	@SuppressWarnings("unchecked")
	public <T> @Nullable T read(Key<T> key) {
		return (T) this.values.get(key);
	}

	/**
	 * Writes a value and, if it differs from the previous one, calls the listeners of its
	 * key on the calling thread.
	 * @param <T> the type of the value
	 * @param key the key
	 * @param value the value, immutable and not {@code null}
	 */
	public <T> void write(Key<T> key, T value) {
		Object previous = this.values.put(key, Objects.requireNonNull(value));
		if (!value.equals(previous)) {
			this.listeners.getOrDefault(key, List.of()).forEach((listener) -> listener.accept(value));
		}
	}

	/**
	 * Adds a listener for changes of a value; it is called on the control thread.
	 * @param <T> the type of the value
	 * @param key the key
	 * @param listener called with the new value
	 */
	@SuppressWarnings("unchecked")
	public <T> void onChange(Key<T> key, Consumer<T> listener) {
		this.listeners.computeIfAbsent(key, (any) -> new CopyOnWriteArrayList<>())
			.add((value) -> listener.accept((T) value));
	}

	/**
	 * The name and type of a value. Keys are compared by identity. Immutable.
	 *
	 * @param <T> the type of the value
	 */
	public static final class Key<T> {

		private final String name;

		/**
		 * Creates a key.
		 * @param name the name, used in messages only
		 */
		public Key(String name) {
			this.name = name;
		}

		@Override
		public String toString() {
			return this.name;
		}

	}

}
