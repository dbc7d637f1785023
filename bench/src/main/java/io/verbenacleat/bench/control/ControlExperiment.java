package io.verbenacleat.bench.control;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.verbenacleat.bench.Experiment;
import io.verbenacleat.bench.ResultFiles;

/**
 * Measures CPU time, memory and serialized sizes of the control objects by the number of
 * accounts, processes and backend servers. The results are slopes for capacity planning.
 * The seed is ignored. Stateless.
 */
public final class ControlExperiment implements Experiment {

	@Override
	public boolean run(long seed, ResultFiles results, PrintStream out) throws IOException {
		List<Measurement> measurements = new ArrayList<>(LedgerCost.measure());
		measurements.addAll(FleetCost.measure());
		measurements.add(SerializedSizes.journalRow());
		List<String> points = new ArrayList<>();
		for (Measurement measurement : measurements) {
			measurement.points().forEach((point) -> points.add(measurement.name() + "," + point.x() + "," + point.y()));
		}
		List<String> slopes = measurements.stream().map(Measurement::csvLine).toList();
		Map<String, Double> sizes = new LinkedHashMap<>();
		SerializedSizes.messageSizes().forEach((name, bytes) -> sizes.put(name, bytes.doubleValue()));
		List<String> sizeLines = sizes.entrySet()
			.stream()
			.map((entry) -> entry.getKey() + "," + entry.getValue().intValue())
			.toList();
		results.writeCsv("control", Measurement.HEADER, slopes);
		results.writeCsv("control-points", "name,size,cost", points);
		results.writeCsv("control-messages", "message,bytes", sizeLines);
		results.writeBarChart("control-messages", "Serialized size, bytes", sizes);
		slopes.forEach(out::println);
		sizeLines.forEach(out::println);
		out.println("control: " + slopes.size() + " slopes, " + sizeLines.size() + " message sizes");
		return true;
	}

}
