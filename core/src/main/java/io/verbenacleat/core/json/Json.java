package io.verbenacleat.core.json;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Parses and writes the JSON of table rows and HTTP bodies. Unknown fields are ignored so
 * that older versions can read rows of newer ones. Safe for use by several threads.
 */
public final class Json {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
		.serializationInclusion(JsonInclude.Include.NON_NULL)
		.build();

	private Json() {
	}

	/**
	 * Returns the shared mapper; callers must not change its configuration.
	 * @return the mapper
	 */
	public static ObjectMapper mapper() {
		return MAPPER;
	}

	/**
	 * Parses a value.
	 * @param <T> the type of the value
	 * @param json the JSON text
	 * @param type the class of the value
	 * @return the value, never {@code null}
	 * @throws JsonFormatException if the text is not a valid value of the type
	 */
	public static <T> T read(String json, Class<T> type) throws JsonFormatException {
		try {
			T value = MAPPER.readValue(json, type);
			if (value == null) {
				throw new JsonFormatException("JSON null in place of " + type.getSimpleName(), null);
			}
			return value;
		}
		catch (JsonProcessingException ex) {
			throw new JsonFormatException("Not a valid " + type.getSimpleName() + ": " + ex.getOriginalMessage(), ex);
		}
	}

	/**
	 * Writes a value as JSON text.
	 * @param value the value
	 * @return the text
	 * @throws IllegalArgumentException if the mapper cannot write the value
	 */
	public static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("Cannot write as JSON: " + value.getClass(), ex);
		}
	}

}
