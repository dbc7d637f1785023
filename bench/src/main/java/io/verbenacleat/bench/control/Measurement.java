package io.verbenacleat.bench.control;

import java.util.List;
import java.util.Locale;

/**
 * The cost of an object or operation at several sizes. Immutable.
 *
 * @param name what is measured
 * @param unit the unit of the cost
 * @param sizeUnit the unit of the size, which the slope is per
 * @param points the measurements
 */
record Measurement(String name, String unit, String sizeUnit, List<Slope.Point> points) {

	static final String HEADER = "name,slope,unit,per,base,from,to,fit_error_pct";

	Measurement {
		points = List.copyOf(points);
	}

	/**
	 * Fits a slope to the points.
	 * @return the slope as a line with the columns of the header
	 */
	String csvLine() {
		Slope slope = Slope.of(this.points);
		return String.format(Locale.ROOT, "%s,%.4g,%s,%s,%.4g,%s,%s,%.1f", this.name, slope.perUnit(), this.unit,
				this.sizeUnit, slope.intercept(), this.points.get(0).x(), this.points.get(this.points.size() - 1).x(),
				slope.errorPercent());
	}

}
