package io.verbenacleat.entry.budget;

import java.util.Optional;

import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.core.platform.Row;

/**
 * Parses process rows. Safe for use by several threads.
 */
final class ProcessRows {

	private ProcessRows() {
	}

	/**
	 * Parses a row.
	 * @param row the row
	 * @return the process row, or empty when the row is absent or malformed
	 */
	static Optional<ProcessRow> parse(Row row) {
		try {
			return (row.exists()) ? Optional.of(Json.read(row.json(), ProcessRow.class)) : Optional.empty();
		}
		catch (JsonFormatException ex) {
			return Optional.empty();
		}
	}

}
