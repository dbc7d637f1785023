package io.verbenacleat.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures the memory and CPU time of a ledger by the number of accounts held and by the
 * rate of reservations. Stateless.
 */
final class LedgerCost {

	private static final int[] ACCOUNTS = { 250, 500, 1_000, 2_000, 4_000 };

	private static final int[] RESERVATIONS_PER_SECOND = { 50, 100, 200, 500, 1_000, 2_000 };

	private static final int ACTIVE_ACCOUNTS = 200;

	private static final int IDLE_SECONDS = 30;

	private static final int BUSY_SECONDS = 60;

	private LedgerCost() {
	}

	static List<Measurement> measure() {
		List<Slope.Point> heap = new ArrayList<>();
		List<Slope.Point> idle = new ArrayList<>();
		List<Slope.Point> busy = new ArrayList<>();
		for (int accounts : ACCOUNTS) {
			heap.add(new Slope.Point(accounts / 1_000.0, retainedBytes(accounts)));
			idle.add(new Slope.Point(accounts / 1_000.0, idleMicros(accounts)));
		}
		for (int rate : RESERVATIONS_PER_SECOND) {
			busy.add(new Slope.Point(rate / 1_000.0, busyMicros(rate)));
		}
		return List.of(new Measurement("ledger heap", "B", "1000 accounts held", heap),
				new Measurement("ledger idle CPU", "us/s", "1000 accounts held", idle),
				new Measurement("ledger busy CPU", "us/s", "1000 reservations/s", busy));
	}

	private static double retainedBytes(int accounts) {
		LedgerLoad[] loads = { new LedgerLoad(accounts) };
		// The array keeps the store and the control thread reachable, so that only the
		// memory of the ledger is measured.
		return Meter.retainedBytes(() -> {
			loads[0] = new LedgerLoad(accounts);
			loads[0].requestEachAccount();
			return loads[0].detachLedger();
		});
	}

	private static double idleMicros(int accounts) {
		LedgerLoad load = new LedgerLoad(accounts);
		load.requestEachAccount();
		// A grant counts as unused after 90 s, so both idle phases together must be
		// shorter.
		load.advance(Duration.ofSeconds(IDLE_SECONDS));
		return Meter.cpuMicros(() -> load.advance(Duration.ofSeconds(IDLE_SECONDS))) / IDLE_SECONDS;
	}

	private static double busyMicros(int rate) {
		LedgerLoad load = new LedgerLoad(ACTIVE_ACCOUNTS);
		load.requestEachAccount();
		load.run(rate, BUSY_SECONDS);
		return Meter.medianCpuMicros(() -> load.run(rate, BUSY_SECONDS)) / BUSY_SECONDS;
	}

}
