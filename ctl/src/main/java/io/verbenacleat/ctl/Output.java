package io.verbenacleat.ctl;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.verbenacleat.core.json.Json;

/**
 * Prints the result of a command: a record as lines {@code key: value}, a list as a table
 * with a header, or either as JSON. Not safe for use by several threads.
 */
final class Output {

	private static final String COLUMN_GAP = "  ";

	// Absent values are written too, so that scripts find every column and member.
	private static final ObjectMapper MAPPER = Json.mapper()
		.copy()
		.setDefaultPropertyInclusion(JsonInclude.Include.ALWAYS);

	private final PrintStream out;

	private final OutputFormat format;

	Output(PrintStream out, OutputFormat format) {
		this.out = out;
		this.format = format;
	}

	void print(Object value) {
		JsonNode tree = MAPPER.valueToTree(value);
		if (this.format == OutputFormat.JSON) {
			this.out.println(tree);
		}
		else if (tree.isArray()) {
			printTable(tree);
		}
		else {
			tree.properties().forEach((entry) -> this.out.println(entry.getKey() + ": " + cell(entry.getValue())));
		}
	}

	// Prints the text in text format and the value in JSON format.
	void printText(String text, Object value) {
		if (this.format == OutputFormat.JSON) {
			print(value);
		}
		else {
			this.out.println(text);
		}
	}

	private void printTable(JsonNode rows) {
		Set<String> columns = new LinkedHashSet<>();
		rows.forEach((row) -> row.fieldNames().forEachRemaining(columns::add));
		List<List<String>> lines = new ArrayList<>();
		lines.add(List.copyOf(columns));
		rows.forEach((row) -> lines.add(columns.stream().map((column) -> cell(row.path(column))).toList()));
		int[] widths = new int[columns.size()];
		for (List<String> line : lines) {
			for (int i = 0; i < widths.length; i++) {
				widths[i] = Math.max(widths[i], line.get(i).length());
			}
		}
		if (!columns.isEmpty()) {
			lines.forEach((line) -> this.out.println(pad(line, widths)));
		}
	}

	private static String pad(List<String> cells, int[] widths) {
		StringBuilder line = new StringBuilder();
		Iterator<String> iterator = cells.iterator();
		for (int i = 0; iterator.hasNext(); i++) {
			String cell = iterator.next();
			line.append(cell).append(" ".repeat(widths[i] - cell.length())).append(COLUMN_GAP);
		}
		return line.toString().stripTrailing();
	}

	private static String cell(JsonNode value) {
		if (value.isMissingNode() || value.isNull()) {
			return "-";
		}
		String text = (value.isValueNode()) ? value.asText() : value.toString();
		return text.replaceAll("\\p{Cntrl}", " ");
	}

}
