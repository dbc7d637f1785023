package io.verbenacleat.core.json;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Reads and writes the JSON of table rows and HTTP bodies. Unknown fields are ignored, so
 * that older programs read newer rows. Safe for use by several threads.
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
	 * Returns the shared mapper; callers do not change its configuration.
	 * @return the mapper
	 */
	public static ObjectMapper mapper() {
		return MAPPER;
	}

	/**
	 * Reads a value.
	 * @param <T> the type
	 * @param json the text
	 * @param type the type
	 * @return the value
	 * @throws JsonFormatException when the text does not fit the type
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
	 * Writes a value.
	 * @param value the value, of a type that the mapper can always write
	 * @return the text
	 */
	public static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("No JSON form for " + value.getClass(), ex);
		}
	}

}
