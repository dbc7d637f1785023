package io.verbenacleat.bench.control;

import java.util.List;

/**
 * A straight line fitted to measured points by least squares. Immutable.
 *
 * @param perUnit the slope
 * @param intercept the value at zero
 * @param errorPercent the root mean square distance of the points from the line, in
 * percent of the largest value
 */
record Slope(double perUnit, double intercept, double errorPercent) {

	/**
	 * Fits a line.
	 * @param points the points, two or more with different {@code x}
	 * @return the line
	 */
	static Slope of(List<Point> points) {
		double meanX = points.stream().mapToDouble(Point::x).average().orElse(0);
		double meanY = points.stream().mapToDouble(Point::y).average().orElse(0);
		double varianceX = points.stream().mapToDouble((point) -> square(point.x - meanX)).sum();
		double covariance = points.stream().mapToDouble((point) -> (point.x - meanX) * (point.y - meanY)).sum();
		double perUnit = covariance / varianceX;
		double intercept = meanY - perUnit * meanX;
		double squares = points.stream().mapToDouble((point) -> square(point.y - intercept - perUnit * point.x)).sum();
		double largest = points.stream().mapToDouble((point) -> Math.abs(point.y)).max().orElse(1);
		return new Slope(perUnit, intercept, 100 * Math.sqrt(squares / points.size()) / largest);
	}

	private static double square(double value) {
		return value * value;
	}

	/**
	 * One measurement. Immutable.
	 *
	 * @param x the size
	 * @param y the cost
	 */
	record Point(double x, double y) {
	}

}
