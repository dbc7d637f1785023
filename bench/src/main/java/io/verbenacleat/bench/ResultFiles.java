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
 * Writes results as CSV and as plots into one directory. Not safe for use by several
 * threads.
 */
public final class ResultFiles {

	private static final int WIDTH_PIXELS = 1_000;

	private static final int HEIGHT_PIXELS = 500;

	private final Path directory;

	private final String command;

	/**
	 * Creates the directory if it is absent.
	 * @param directory where to write
	 * @param command the command that is noted in each CSV file
	 * @throws IOException when the directory cannot be made
	 */
	public ResultFiles(Path directory, String command) throws IOException {
		this.directory = Files.createDirectories(directory);
		this.command = command;
	}

	/**
	 * Writes a CSV file; its first line is a comment with the command.
	 * @param name the file name without extension
	 * @param header the names of the columns
	 * @param lines the lines
	 * @throws IOException when the file cannot be written
	 */
	public void writeCsv(String name, String header, List<String> lines) throws IOException {
		List<String> all = new ArrayList<>(List.of("# " + this.command, header));
		all.addAll(lines);
		Files.write(this.directory.resolve(name + ".csv"), all);
	}

	/**
	 * Writes a bar chart as PNG.
	 * @param name the file name without extension
	 * @param title the title
	 * @param values the bars by name
	 * @throws IOException when the file cannot be written
	 */
	public void writeBarChart(String name, String title, Map<String, Double> values) throws IOException {
		CategoryChart chart = new CategoryChartBuilder().width(WIDTH_PIXELS).height(HEIGHT_PIXELS).title(title).build();
		chart.getStyler().setLegendVisible(false);
		chart.addSeries(title, new ArrayList<>(values.keySet()), new ArrayList<>(values.values()));
		BitmapEncoder.saveBitmap(chart, this.directory.resolve(name).toString(), BitmapEncoder.BitmapFormat.PNG);
	}

}
