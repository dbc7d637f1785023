package io.verbenacleat.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/**
 * Writes results as CSV files and as bar charts to one directory. Not safe for use by
 * several threads.
 */
public final class ResultFiles {

	private static final int WIDTH_PIXELS = 1_000;

	private static final int HEIGHT_PIXELS = 500;

	private final Path directory;

	private final String command;

	/**
	 * Creates the writer, and the directory if it does not exist.
	 * @param directory the directory of the result files
	 * @param command the command that reproduces the results, written to each CSV file
	 * @throws IOException if the directory cannot be created
	 */
	public ResultFiles(Path directory, String command) throws IOException {
		this.directory = Files.createDirectories(directory);
		this.command = command;
	}

	/**
	 * Writes a CSV file whose first line is a comment with the command.
	 * @param name the file name without extension
	 * @param header the column names, separated by commas
	 * @param lines the rows
	 * @throws IOException if the file cannot be written
	 */
	public void writeCsv(String name, String header, List<String> lines) throws IOException {
		List<String> all = new ArrayList<>(List.of("# " + this.command, header));
		all.addAll(lines);
		Files.write(this.directory.resolve(name + ".csv"), all);
	}

	/**
	 * Writes a bar chart as a PNG file.
	 * @param name the file name without extension
	 * @param title the title of the chart
	 * @param values the value of each bar by its label
	 * @throws IOException if the file cannot be written
	 */
	public void writeBarChart(String name, String title, Map<String, Double> values) throws IOException {
		CategoryChart chart = new CategoryChartBuilder().width(WIDTH_PIXELS).height(HEIGHT_PIXELS).title(title).build();
		chart.getStyler().setLegendVisible(false);
		chart.addSeries(title, new ArrayList<>(values.keySet()), new ArrayList<>(values.values()));
		BitmapEncoder.saveBitmap(chart, this.directory.resolve(name).toString(), BitmapEncoder.BitmapFormat.PNG);
	}

}
