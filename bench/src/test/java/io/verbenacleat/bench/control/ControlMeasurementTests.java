package io.verbenacleat.bench.control;

import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class ControlMeasurementTests {

	// Guards against slopes that do not fit the points, and against a fit error that does
	// not show their distance from the line.
	@Test
	void fitsLines() {
		Slope exact = Slope.of(List.of(new Slope.Point(1, 5), new Slope.Point(2, 7), new Slope.Point(4, 11)));
		assertEquals(exact.perUnit(), 2, 1e-9);
		assertEquals(exact.intercept(), 3, 1e-9);
		assertEquals(exact.errorPercent(), 0, 1e-9);
		Slope peak = Slope.of(List.of(new Slope.Point(0, 0), new Slope.Point(1, 10), new Slope.Point(2, 0)));
		assertEquals(peak.perUnit(), 0, 1e-9);
		assertTrue(peak.errorPercent() > 40);
	}

	// Guards against a measurement in which the size of a journal row does not grow with
	// its receipts.
	@Test
	void measuresJournalRows() {
		Slope slope = Slope.of(SerializedSizes.journalRow().points());
		assertTrue(slope.perUnit() > 100);
		assertTrue(slope.errorPercent() < 1);
	}

	// Guards against a meter that counts memory that is still referenced elsewhere.
	@Test
	void countsRetainedMemoryOnly() {
		byte[] stillReferenced = new byte[8_000_000];
		double bytes = Meter.retainedBytes(() -> List.of(stillReferenced, new byte[1_000_000]));
		assertTrue(bytes > 500_000 && bytes < 2_000_000, "retained " + bytes);
		assertEquals(stillReferenced.length, 8_000_000);
	}

}
