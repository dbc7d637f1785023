package io.verbenacleat.core.account;

import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.PlatformProtocolException;
import io.verbenacleat.core.platform.Row;

/**
 * Parses the JSON of table rows. Stateless.
 */
final class Rows {

	private Rows() {
	}

	static <T> T parse(Row row, Class<T> type) throws PlatformProtocolException {
		try {
			return Json.read(row.json(), type);
		}
		catch (JsonFormatException ex) {
			throw new PlatformProtocolException("Row " + row.key() + ": " + ex.getMessage(), ex);
		}
	}

	static <T> T parse(Row row, Class<T> type, T defaultValue) throws PlatformProtocolException {
		return (row.exists()) ? parse(row, type) : defaultValue;
	}

}
